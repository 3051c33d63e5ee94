// Package wire encodes and decodes the IP packets of the stand-ins: TCP and UDP
// over IPv4 and IPv6.
package wire

import (
	"net/netip"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Flags are the TCP flags that the stand-ins use.
type Flags uint8

// TCP flags.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// Has reports whether all the given flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Packet is a TCP or UDP packet.
type Packet struct {
	Protocol state.Protocol
	Source   netip.AddrPort
	Dest     netip.AddrPort
	// Flags, Seq and Ack are zero for UDP.
	Flags Flags
	Seq   uint32
	Ack   uint32
	// Payload of a decoded packet aliases the decoder's input.
	Payload []byte
}

// MaxPayload is the largest payload that the stand-ins put into a packet, in
// bytes.
const MaxPayload = 1200
