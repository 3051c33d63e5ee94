package main

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
)

// Sizes in bytes of the packet header and of the label in front of it.
const (
	headerSize = 32
	labelSize  = 8
)

// Bits of the flags field.
const (
	flagACK = 1
	flagSYN = 2
	flagFIN = 32
	flagRST = 64
)

// packet is one packet of a flow, with the fields of the platform's header.
type packet struct {
	echo, sum, seq, ack uint32
	src, dst            netip.AddrPort
	flags               byte
	data                []byte
}

func ipNumber(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func numberIP(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}

// encode returns the packet's bytes. A packet of an end has a sum other than 0; the key of
// the platform's sum is not known here, so it is any number.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	le := binary.LittleEndian
	le.PutUint32(b[0:], p.echo)
	le.PutUint32(b[4:], rand.Uint32()|1)
	le.PutUint32(b[8:], p.seq)
	le.PutUint32(b[12:], p.ack)
	le.PutUint16(b[16:], uint16(len(p.data)))
	le.PutUint16(b[18:], p.dst.Port())
	le.PutUint32(b[20:], ipNumber(p.dst.Addr()))
	le.PutUint16(b[24:], p.src.Port())
	le.PutUint32(b[26:], ipNumber(p.src.Addr()))
	b[30] = p.flags
	return append(b, p.data...)
}

func decode(b []byte) (packet, bool) {
	le := binary.LittleEndian
	if len(b) < headerSize || int(le.Uint16(b[16:])) != len(b)-headerSize {
		return packet{}, false
	}
	return packet{
		echo: le.Uint32(b[0:]), sum: le.Uint32(b[4:]), seq: le.Uint32(b[8:]), ack: le.Uint32(b[12:]),
		dst:   netip.AddrPortFrom(numberIP(le.Uint32(b[20:])), le.Uint16(b[18:])),
		src:   netip.AddrPortFrom(numberIP(le.Uint32(b[26:])), le.Uint16(b[24:])),
		flags: b[30],
		data:  append([]byte(nil), b[headerSize:]...),
	}, true
}
