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
func (b *ReplyBuilder) BuildRefusal(original []byte, retryAfter time.Duration) ([]byte, error) {
	var p traffic.Packet
	if err := b.decoder.Decode(original, &p); err != nil {
		return nil, err
	}
	switch p.Kind {
	case traffic.KindSYN:
		return b.buildTCPRefusal(retryAfter)
	case traffic.KindDatagram:
		return b.buildUDPRefusal(original, retryAfter)
	default:
		return nil, ErrNotAnswerable
	}
}

// BuildReset returns the RST that ends the flow of the TCP segment in original. Its
// sequence number is the segment's acknowledgment number, since the client only accepts
// a RST with exactly the next expected sequence number (RFC 5961). SYNs, RSTs and
// datagrams are ErrNotAnswerable. The returned bytes are valid until the next call.
func (b *ReplyBuilder) BuildReset(original []byte) ([]byte, error) {
	var p traffic.Packet
	if err := b.decoder.Decode(original, &p); err != nil {
		return nil, err
	}
	if p.Kind != traffic.KindData && p.Kind != traffic.KindFIN {
		return nil, ErrNotAnswerable
	}
	return b.serializeTCP(&layers.TCP{RST: true, Seq: b.decoder.tcp.Ack}, nil)
}

func (b *ReplyBuilder) buildTCPRefusal(retryAfter time.Duration) ([]byte, error) {
	b.payload = appendRefusalText(b.payload[:0], retryAfter)
	segment := &layers.TCP{RST: true, ACK: true, Ack: sequenceEnd(&b.decoder.tcp)}
	return b.serializeTCP(segment, b.payload)
}

func (b *ReplyBuilder) serializeTCP(segment *layers.TCP, payload []byte) ([]byte, error) {
	segment.SrcPort = b.decoder.tcp.DstPort
	segment.DstPort = b.decoder.tcp.SrcPort
	network := b.networkLayer(layers.IPProtocolTCP)
	if err := segment.SetNetworkLayerForChecksum(network); err != nil {
		return nil, err
	}
	return b.serialize(network, segment, gopacket.Payload(payload))
}

func (b *ReplyBuilder) buildUDPRefusal(original []byte, retryAfter time.Duration) ([]byte, error) {
	body := &icmp.DstUnreach{
		Data:       original[:min(len(original), maxQuoteSize)],
		Extensions: []icmp.Extension{retryAfterObject(retryAfter)},
	}
	message := icmp.Message{
		Type: ipv4.ICMPTypeDestinationUnreachable,
		Code: icmp4PortUnreachable,
		Body: body,
	}
	if b.decoder.isIPv4() {
		data, err := message.Marshal(nil)
		if err != nil {
			return nil, err
		}
		return b.serialize(b.networkLayer(layers.IPProtocolICMPv4), gopacket.Payload(data))
	}
	message.Type = ipv6.ICMPTypeDestinationUnreachable
	message.Code = icmp6PortUnreachable
	pseudo := icmp.IPv6PseudoHeader(b.decoder.ip6.DstIP, b.decoder.ip6.SrcIP)
	data, err := message.Marshal(pseudo)
	if err != nil {
		return nil, err
	}
	return b.serialize(b.networkLayer(layers.IPProtocolICMPv6), gopacket.Payload(data))
}

// replyLayer is the IP header of a reply.
type replyLayer interface {
	gopacket.NetworkLayer
	gopacket.SerializableLayer
}

// networkLayer returns the IP header of a reply from the service to the client.
func (b *ReplyBuilder) networkLayer(protocol layers.IPProtocol) replyLayer {
	if b.decoder.isIPv4() {
		return &layers.IPv4{
			Version:  versionIPv4,
			TTL:      replyTTL,
			Flags:    layers.IPv4DontFragment,
			Protocol: protocol,
			SrcIP:    net.IP(b.decoder.ip4.DstIP),
			DstIP:    net.IP(b.decoder.ip4.SrcIP),
		}
	}
	return &layers.IPv6{
		Version:    versionIPv6,
		HopLimit:   replyTTL,
		NextHeader: protocol,
		SrcIP:      net.IP(b.decoder.ip6.DstIP),
		DstIP:      net.IP(b.decoder.ip6.SrcIP),
	}
}

func (b *ReplyBuilder) serialize(parts ...gopacket.SerializableLayer) ([]byte, error) {
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(b.buffer, options, parts...); err != nil {
		return nil, err
	}
	return b.buffer.Bytes(), nil
}
