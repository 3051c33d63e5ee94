package wire

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	timeToLive = 64
	tcpWindow  = 65535
)

// Encode returns p as an IP packet with lengths and checksums filled in. The IP
// version follows the destination address.
func Encode(p Packet) ([]byte, error) {
	network, checksummed := networkLayer(p)
	transport, err := transportLayer(p, checksummed)
	if err != nil {
		return nil, err
	}
	buffer := gopacket.NewSerializeBufferExpectedSize(64, len(p.Payload))
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err = gopacket.SerializeLayers(buffer, options, network, transport, gopacket.Payload(p.Payload))
	if err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// networkLayer returns the IP header twice: as the layer to serialize and as the
// layer that the transport checksum covers.
func networkLayer(p Packet) (gopacket.SerializableLayer, gopacket.NetworkLayer) {
	protocol := layers.IPProtocol(p.Protocol)
	if p.Dest.Addr().Is4() {
		ip := &layers.IPv4{
			Version:  4,
			TTL:      timeToLive,
			Protocol: protocol,
			SrcIP:    ipFromAddrPort(p.Source),
			DstIP:    ipFromAddrPort(p.Dest),
		}
		return ip, ip
	}
	ip := &layers.IPv6{
		Version:    6,
		HopLimit:   timeToLive,
		NextHeader: protocol,
		SrcIP:      ipFromAddrPort(p.Source),
		DstIP:      ipFromAddrPort(p.Dest),
	}
	return ip, ip
}

func ipFromAddrPort(address netip.AddrPort) net.IP { return address.Addr().AsSlice() }

func transportLayer(p Packet, network gopacket.NetworkLayer) (gopacket.SerializableLayer, error) {
	switch p.Protocol {
	case state.TCP:
		tcp := tcpLayer(p)
		return tcp, tcp.SetNetworkLayerForChecksum(network)
	case state.UDP:
		udp := &layers.UDP{
			SrcPort: layers.UDPPort(p.Source.Port()),
			DstPort: layers.UDPPort(p.Dest.Port()),
		}
		return udp, udp.SetNetworkLayerForChecksum(network)
	}
	return nil, fmt.Errorf("protocol %d is neither TCP nor UDP", p.Protocol)
}

func tcpLayer(p Packet) *layers.TCP {
	return &layers.TCP{
		SrcPort: layers.TCPPort(p.Source.Port()),
		DstPort: layers.TCPPort(p.Dest.Port()),
		Seq:     p.Seq,
		Ack:     p.Ack,
		FIN:     p.Flags.Has(FIN),
		SYN:     p.Flags.Has(SYN),
		RST:     p.Flags.Has(RST),
		PSH:     p.Flags.Has(PSH),
		ACK:     p.Flags.Has(ACK),
		Window:  tcpWindow,
	}
}
