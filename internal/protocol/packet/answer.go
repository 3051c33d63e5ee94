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

// Values of answers.
const (
	// answerTTL is the hop limit of built packets.
	answerTTL = 64
	// quoteSize bounds how much of a refused datagram its answer quotes, in bytes.
	quoteSize = 128
	// codePortUnreachable6 is the ICMPv6 code for an unreachable port.
	codePortUnreachable6 = 4
	// codePortUnreachable4 is the ICMPv4 code for an unreachable port.
	codePortUnreachable4 = 3
)

// Answerer builds answers to callers. It is not safe for concurrent use.
type Answerer struct {
	decoder *Decoder
	buffer  gopacket.SerializeBuffer
	text    []byte
}

// NewAnswerer returns an Answerer.
func NewAnswerer() *Answerer {
	return &Answerer{decoder: NewDecoder(), buffer: gopacket.NewSerializeBuffer()}
}

// Refuse returns the answer that refuses the flow opening in original: a RST
// for TCP, an ICMP port unreachable message for UDP, both with retryAfter.
// The returned bytes are valid until the next call.
func (a *Answerer) Refuse(original []byte, retryAfter time.Duration) ([]byte, error) {
	var p traffic.Packet
	if err := a.decoder.Decode(original, &p); err != nil {
		return nil, err
	}
	switch p.Kind {
	case traffic.KindSYN:
		return a.refuseTCP(retryAfter)
	case traffic.KindDatagram:
		return a.refuseUDP(original, retryAfter)
	default:
		return nil, ErrNotAnswerable
	}
}

// Reset returns the RST that ends the flow of the segment in original. Its
// sequence number is the segment's acknowledgment number, which is what the
// caller accepts (RFC 5961). The returned bytes are valid until the next call.
func (a *Answerer) Reset(original []byte) ([]byte, error) {
	var p traffic.Packet
	if err := a.decoder.Decode(original, &p); err != nil {
		return nil, err
	}
	if p.Kind != traffic.KindData && p.Kind != traffic.KindFIN {
		return nil, ErrNotAnswerable
	}
	return a.serializeTCP(&layers.TCP{RST: true, Seq: a.decoder.tcp.Ack}, nil)
}

func (a *Answerer) refuseTCP(retryAfter time.Duration) ([]byte, error) {
	a.text = appendRefusalText(a.text[:0], retryAfter)
	segment := &layers.TCP{RST: true, ACK: true, Ack: sequenceEnd(&a.decoder.tcp)}
	return a.serializeTCP(segment, a.text)
}

func (a *Answerer) serializeTCP(segment *layers.TCP, payload []byte) ([]byte, error) {
	segment.SrcPort = a.decoder.tcp.DstPort
	segment.DstPort = a.decoder.tcp.SrcPort
	network := a.networkLayer(layers.IPProtocolTCP)
	if err := segment.SetNetworkLayerForChecksum(network); err != nil {
		return nil, err
	}
	return a.serialize(network, segment, gopacket.Payload(payload))
}

func (a *Answerer) refuseUDP(original []byte, retryAfter time.Duration) ([]byte, error) {
	body := &icmp.DstUnreach{
		Data:       original[:min(len(original), quoteSize)],
		Extensions: []icmp.Extension{retryObject(retryAfter)},
	}
	message := icmp.Message{
		Type: ipv4.ICMPTypeDestinationUnreachable,
		Code: codePortUnreachable4,
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
	message.Code = codePortUnreachable6
	pseudo := icmp.IPv6PseudoHeader(a.decoder.ip6.DstIP, a.decoder.ip6.SrcIP)
	data, err := message.Marshal(pseudo)
	if err != nil {
		return nil, err
	}
	return a.serialize(a.networkLayer(layers.IPProtocolICMPv6), gopacket.Payload(data))
}

// answerLayer is an IP header for an answer.
type answerLayer interface {
	gopacket.NetworkLayer
	gopacket.SerializableLayer
}

// networkLayer returns the IP header from the service back to the caller.
func (a *Answerer) networkLayer(protocol layers.IPProtocol) answerLayer {
	if a.decoder.isIPv4() {
		return &layers.IPv4{
			Version:  versionIPv4,
			TTL:      answerTTL,
			Flags:    layers.IPv4DontFragment,
			Protocol: protocol,
			SrcIP:    net.IP(a.decoder.ip4.DstIP),
			DstIP:    net.IP(a.decoder.ip4.SrcIP),
		}
	}
	return &layers.IPv6{
		Version:    versionIPv6,
		HopLimit:   answerTTL,
		NextHeader: protocol,
		SrcIP:      net.IP(a.decoder.ip6.DstIP),
		DstIP:      net.IP(a.decoder.ip6.SrcIP),
	}
}

func (a *Answerer) serialize(parts ...gopacket.SerializableLayer) ([]byte, error) {
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(a.buffer, options, parts...); err != nil {
		return nil, err
	}
	return a.buffer.Bytes(), nil
}
