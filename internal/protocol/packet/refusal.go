package packet

import (
	"net/netip"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"golang.org/x/net/icmp"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Refusal is the refusal of a new flow, as the client decodes it.
type Refusal struct {
	Key state.FlowKey
	// RetryAfter is how long the client should wait before the next attempt.
	RetryAfter time.Duration
}

// ParseRefusal decodes a packet that a client received. It returns false for packets
// that are not refusals as built by ReplyBuilder.BuildRefusal.
func ParseRefusal(data []byte) (Refusal, bool) {
	d := NewDecoder()
	if err := d.decodeLayers(data); err != nil {
		return Refusal{}, false
	}
	switch d.decodedLayers[len(d.decodedLayers)-1] {
	case layers.LayerTypeTCP:
		return d.parseReset()
	case layers.LayerTypeIPv4, layers.LayerTypeIPv6:
		return d.parseUnreachable()
	default:
		return Refusal{}, false
	}
}

func (d *Decoder) parseReset() (Refusal, bool) {
	if !d.tcp.RST {
		return Refusal{}, false
	}
	retryAfter, ok := parseRefusalText(d.tcp.Payload)
	if !ok {
		return Refusal{}, false
	}
	service, client := d.addresses()
	key := state.FlowKey{
		Protocol: state.TCP,
		Caller:   netip.AddrPortFrom(client, uint16(d.tcp.DstPort)),
		Service:  netip.AddrPortFrom(service, uint16(d.tcp.SrcPort)),
	}
	return Refusal{Key: key, RetryAfter: retryAfter}, true
}

func (d *Decoder) parseUnreachable() (Refusal, bool) {
	protocol := layers.IPProtocolICMPv6
	next := d.ip6.NextHeader
	if d.isIPv4() {
		protocol = layers.IPProtocolICMPv4
		next = d.ip4.Protocol
	}
	if next != protocol {
		return Refusal{}, false
	}
	message, err := icmp.ParseMessage(int(protocol), d.networkPayload())
	if err != nil {
		return Refusal{}, false
	}
	body, ok := message.Body.(*icmp.DstUnreach)
	if !ok {
		return Refusal{}, false
	}
	retryAfter, ok := parseRetryAfterObject(body.Extensions)
	if !ok {
		return Refusal{}, false
	}
	key, ok := quotedFlowKey(body.Data)
	return Refusal{Key: key, RetryAfter: retryAfter}, ok
}

// quotedFlowKey returns the flow of a datagram quoted in an ICMP message. The quote may
// be truncated or padded.
func quotedFlowKey(quote []byte) (state.FlowKey, bool) {
	d := NewDecoder()
	parser, err := d.parserFor(quote)
	if err != nil {
		return state.FlowKey{}, false
	}
	// The error is ignored: a truncated quote causes one after its headers are decoded.
	_ = parser.DecodeLayers(quote, &d.decodedLayers)
	if !d.hasLayer(layers.LayerTypeUDP) {
		return state.FlowKey{}, false
	}
	var p traffic.Packet
	err = d.fillKey(&p, state.UDP, uint16(d.udp.SrcPort), uint16(d.udp.DstPort))
	return p.Key, err == nil
}

func (d *Decoder) hasLayer(layer gopacket.LayerType) bool {
	for _, decoded := range d.decodedLayers {
		if decoded == layer {
			return true
		}
	}
	return false
}
