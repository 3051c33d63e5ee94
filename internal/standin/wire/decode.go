package wire

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"github.com/guavawharf/guavawharf/internal/state"
)

var errNotIP = errors.New("packet is neither IPv4 nor IPv6")

// Decoder decodes packets and reuses its header structs between calls. It is not
// safe for concurrent use.
type Decoder struct {
	ip4 layers.IPv4
	ip6 layers.IPv6
	tcp layers.TCP
	udp layers.UDP
}

// Decode decodes an IP packet that carries TCP or UDP. It returns an error for
// malformed headers and for other protocols. The payload aliases data.
func (d *Decoder) Decode(data []byte) (Packet, error) {
	protocol, source, dest, body, err := d.decodeIP(data)
	if err != nil {
		return Packet{}, err
	}
	switch protocol {
	case layers.IPProtocolTCP:
		return d.decodeTCP(source, dest, body)
	case layers.IPProtocolUDP:
		return d.decodeUDP(source, dest, body)
	}
	return Packet{}, fmt.Errorf("protocol %s is neither TCP nor UDP", protocol)
}

// decodeIP returns the transport protocol, the source and destination addresses
// and the payload of an IPv4 or IPv6 packet.
func (d *Decoder) decodeIP(data []byte) (layers.IPProtocol, netip.Addr, netip.Addr, []byte, error) {
	var none netip.Addr
	if len(data) == 0 {
		return 0, none, none, nil, errNotIP
	}
	switch data[0] >> 4 {
	case 4:
		if err := d.ip4.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return 0, none, none, nil, err
		}
		return d.ip4.Protocol, addrFromIP(d.ip4.SrcIP), addrFromIP(d.ip4.DstIP), d.ip4.Payload, nil
	case 6:
		if err := d.ip6.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return 0, none, none, nil, err
		}
		return d.ip6.NextHeader, addrFromIP(d.ip6.SrcIP), addrFromIP(d.ip6.DstIP), d.ip6.Payload, nil
	}
	return 0, none, none, nil, errNotIP
}

func addrFromIP(ip net.IP) netip.Addr {
	addr, _ := netip.AddrFromSlice(ip)
	return addr
}

func (d *Decoder) decodeTCP(source, dest netip.Addr, body []byte) (Packet, error) {
	if err := d.tcp.DecodeFromBytes(body, gopacket.NilDecodeFeedback); err != nil {
		return Packet{}, err
	}
	return Packet{
		Protocol: state.TCP,
		Source:   netip.AddrPortFrom(source, uint16(d.tcp.SrcPort)),
		Dest:     netip.AddrPortFrom(dest, uint16(d.tcp.DstPort)),
		Flags:    decodeFlags(&d.tcp),
		Seq:      d.tcp.Seq,
		Ack:      d.tcp.Ack,
		Payload:  d.tcp.Payload,
	}, nil
}

func decodeFlags(tcp *layers.TCP) Flags {
	var flags Flags
	set := func(on bool, flag Flags) {
		if on {
			flags |= flag
		}
	}
	set(tcp.FIN, FIN)
	set(tcp.SYN, SYN)
	set(tcp.RST, RST)
	set(tcp.PSH, PSH)
	set(tcp.ACK, ACK)
	return flags
}

func (d *Decoder) decodeUDP(source, dest netip.Addr, body []byte) (Packet, error) {
	if err := d.udp.DecodeFromBytes(body, gopacket.NilDecodeFeedback); err != nil {
		return Packet{}, err
	}
	return Packet{
		Protocol: state.UDP,
		Source:   netip.AddrPortFrom(source, uint16(d.udp.SrcPort)),
		Dest:     netip.AddrPortFrom(dest, uint16(d.udp.DstPort)),
		Payload:  d.udp.Payload,
	}, nil
}
