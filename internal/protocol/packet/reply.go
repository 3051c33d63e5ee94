package packet

import (
	"net"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"golang.org/x/net/icmp"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
)

// Values of replies.
const (
	// replyTTL is the TTL or hop limit of replies.
	replyTTL = 64
	// maxQuoteSize limits how many bytes of a refused datagram its ICMP reply quotes.
	maxQuoteSize = 128
	// icmp6PortUnreachable is the ICMPv6 code for an unreachable port.
	icmp6PortUnreachable = 4
	// icmp4PortUnreachable is the ICMPv4 code for an unreachable port.
	icmp4PortUnreachable = 3
)

// ReplyBuilder builds replies to clients. It is not safe for concurrent use.
type ReplyBuilder struct {
	decoder *Decoder
	buffer  gopacket.SerializeBuffer
	payload []byte
}

// NewReplyBuilder returns a ReplyBuilder.
func NewReplyBuilder() *ReplyBuilder {
	return &ReplyBuilder{decoder: NewDecoder(), buffer: gopacket.NewSerializeBuffer()}
}

// BuildRefusal returns the reply that refuses the flow that original opens: a RST to a
// TCP SYN, an ICMP port unreachable message to a UDP datagram, both with retryAfter.
// Other packets are ErrNotAnswerable. The returned bytes are valid until the next call.
func (a *ReplyBuilder) BuildRefusal(original []byte, retryAfter time.Duration) ([]byte, error) {
	var p traffic.Packet
	if err := a.decoder.Decode(original, &p); err != nil {
		return nil, err
	}
	switch p.Kind {
	case traffic.KindOpening:
		return a.buildTCPRefusal(retryAfter)
	case traffic.KindDatagram:
		return a.buildUDPRefusal(original, retryAfter)
	default:
		return nil, ErrNotAnswerable
	}
}

// BuildReset returns the RST that ends the flow of the TCP segment in original. Its
// sequence number is the segment's acknowledgment number, since the client only accepts
// a RST with exactly the next expected sequence number (RFC 5961). SYNs, RSTs and
// datagrams are ErrNotAnswerable. The returned bytes are valid until the next call.
func (a *ReplyBuilder) BuildReset(original []byte) ([]byte, error) {
	var p traffic.Packet
	if err := a.decoder.Decode(original, &p); err != nil {
		return nil, err
	}
	if p.Kind != traffic.KindData && p.Kind != traffic.KindClosing {
		return nil, ErrNotAnswerable
	}
	return a.serializeTCP(&layers.TCP{RST: true, Seq: a.decoder.tcp.Ack}, nil)
}

func (a *ReplyBuilder) buildTCPRefusal(retryAfter time.Duration) ([]byte, error) {
	a.payload = appendRefusalText(a.payload[:0], retryAfter)
	segment := &layers.TCP{RST: true, ACK: true, Ack: sequenceEnd(&a.decoder.tcp)}
	return a.serializeTCP(segment, a.payload)
}

func (a *ReplyBuilder) serializeTCP(segment *layers.TCP, payload []byte) ([]byte, error) {
	segment.SrcPort = a.decoder.tcp.DstPort
	segment.DstPort = a.decoder.tcp.SrcPort
	network := a.networkLayer(layers.IPProtocolTCP)
	if err := segment.SetNetworkLayerForChecksum(network); err != nil {
		return nil, err
	}
	return a.serialize(network, segment, gopacket.Payload(payload))
}

func (a *ReplyBuilder) buildUDPRefusal(original []byte, retryAfter time.Duration) ([]byte, error) {
	body := &icmp.DstUnreach{
		Data:       original[:min(len(original), maxQuoteSize)],
		Extensions: []icmp.Extension{retryAfterObject(retryAfter)},
	}
	message := icmp.Message{
		Type: ipv4.ICMPTypeDestinationUnreachable,
		Code: icmp4PortUnreachable,
		Body: body,
	}
	if a.decoder.isIPv4() {
		data, err := message.Marshal(nil)
		if err != nil {
			return nil, err
		}
		return a.serialize(a.networkLayer(layers.IPProtocolICMPv4), gopacket.Payload(data))
	}
	message.Type = ipv6.ICMPTypeDestinationUnreachable
	message.Code = icmp6PortUnreachable
	pseudo := icmp.IPv6PseudoHeader(a.decoder.ip6.DstIP, a.decoder.ip6.SrcIP)
	data, err := message.Marshal(pseudo)
	if err != nil {
		return nil, err
	}
	return a.serialize(a.networkLayer(layers.IPProtocolICMPv6), gopacket.Payload(data))
}

// replyLayer is the IP header of a reply.
type replyLayer interface {
	gopacket.NetworkLayer
	gopacket.SerializableLayer
}

// networkLayer returns the IP header of a reply from the service to the client.
func (a *ReplyBuilder) networkLayer(protocol layers.IPProtocol) replyLayer {
	if a.decoder.isIPv4() {
		return &layers.IPv4{
			Version:  versionIPv4,
			TTL:      replyTTL,
			Flags:    layers.IPv4DontFragment,
			Protocol: protocol,
			SrcIP:    net.IP(a.decoder.ip4.DstIP),
			DstIP:    net.IP(a.decoder.ip4.SrcIP),
		}
	}
	return &layers.IPv6{
		Version:    versionIPv6,
		HopLimit:   replyTTL,
		NextHeader: protocol,
		SrcIP:      net.IP(a.decoder.ip6.DstIP),
		DstIP:      net.IP(a.decoder.ip6.SrcIP),
	}
}

func (a *ReplyBuilder) serialize(parts ...gopacket.SerializableLayer) ([]byte, error) {
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(a.buffer, options, parts...); err != nil {
		return nil, err
	}
	return a.buffer.Bytes(), nil
}
