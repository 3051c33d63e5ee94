package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Layout of a packet, as PROTOCOL.md prints it. All fields are little-endian.
const (
	headerSize = 32
	labelSize  = 8

	flagACK     = 1
	flagSYN     = 2
	flagFIN     = 32
	flagRST     = 64
	flagBounced = 128
)

// sumKey stands for the key that the platform does not disclose.
const sumKey = "review stand-in key"

type packet struct {
	Echo, Sum, Seq, Ack uint32
	Src, Dst            netip.AddrPort
	Flags               byte
	Data                []byte
}

func addrBits(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func bitsAddr(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}

// encode returns the packet with its sum.
func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.Data))
	binary.LittleEndian.PutUint32(b[0:], p.Echo)
	binary.LittleEndian.PutUint32(b[8:], p.Seq)
	binary.LittleEndian.PutUint32(b[12:], p.Ack)
	binary.LittleEndian.PutUint16(b[16:], uint16(len(p.Data)))
	binary.LittleEndian.PutUint16(b[18:], p.Dst.Port())
	binary.LittleEndian.PutUint32(b[20:], addrBits(p.Dst.Addr()))
	binary.LittleEndian.PutUint16(b[24:], p.Src.Port())
	binary.LittleEndian.PutUint32(b[26:], addrBits(p.Src.Addr()))
	b[30] = p.Flags
	b = append(b, p.Data...)
	binary.LittleEndian.PutUint32(b[4:], keyedSum(b))
	return b
}

// keyedSum is over all fields but echo, pad and BOUNCED, and is never 0.
func keyedSum(b []byte) uint32 {
	h := crc32.NewIEEE()
	h.Write([]byte(sumKey))
	h.Write(b[8:30])
	h.Write([]byte{b[30] &^ flagBounced})
	h.Write(b[headerSize:])
	if sum := h.Sum32(); sum != 0 {
		return sum
	}
	return 1
}

// decode returns the packet; genuine is set if its sum is that of a stand-in.
func decode(b []byte) (p packet, genuine, ok bool) {
	if len(b) < headerSize || int(binary.LittleEndian.Uint16(b[16:])) != len(b)-headerSize {
		return packet{}, false, false
	}
	p = packet{
		Echo:  binary.LittleEndian.Uint32(b[0:]),
		Sum:   binary.LittleEndian.Uint32(b[4:]),
		Seq:   binary.LittleEndian.Uint32(b[8:]),
		Ack:   binary.LittleEndian.Uint32(b[12:]),
		Dst:   netip.AddrPortFrom(bitsAddr(binary.LittleEndian.Uint32(b[20:])), binary.LittleEndian.Uint16(b[18:])),
		Src:   netip.AddrPortFrom(bitsAddr(binary.LittleEndian.Uint32(b[26:])), binary.LittleEndian.Uint16(b[24:])),
		Flags: b[30],
		Data:  append([]byte(nil), b[headerSize:]...),
	}
	return p, p.Sum == keyedSum(b), true
}
