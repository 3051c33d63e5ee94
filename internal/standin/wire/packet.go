// Package wire builds and decodes the IP packets of the stand-ins: TCP and UDP
// over IPv4 and IPv6, and the ICMP refusals of entry hosts.
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

// Has tells whether all the given flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Packet is a TCP or UDP packet.
type Packet struct {
	Protocol state.Protocol
	Source   netip.AddrPort
	Dest     netip.AddrPort
	// Flags, Seq and Ack belong to TCP.
	Flags Flags
	Seq   uint32
	Ack   uint32
	// Payload aliases the decoded bytes.
	Payload []byte
}

// MaxPayload is the largest payload of one packet in bytes.
const MaxPayload = 1200
