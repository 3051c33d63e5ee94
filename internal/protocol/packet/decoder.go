// Package packet decodes the IP packets of clients and builds the replies that an entry
// host sends to clients: refusals and resets.
//
// Complete IPv4 and IPv6 packets with a TCP or UDP header are accepted. Fragments,
// packets with IPv6 extension headers and all others are rejected with an Error.
package packet

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// IP versions, as in the high nibble of the first byte.
const (
	versionIPv4 = 4
	versionIPv6 = 6
)

// Layout of the IPv6 header in bytes.
const (
	ipv6HeaderSize = 40
	ipv6NextHeader = 6
)

// Decoder decodes packets without allocating. It is not safe for concurrent use.
type Decoder struct {
	ip4           layers.IPv4
	ip6           layers.IPv6
	tcp           layers.TCP
	udp           layers.UDP
	parser4       *gopacket.DecodingLayerParser
	parser6       *gopacket.DecodingLayerParser
	decodedLayers []gopacket.LayerType
	// datagramCount numbers UDP packets, which carry no sequence number.
	datagramCount uint64
}

// NewDecoder returns a Decoder.
func NewDecoder() *Decoder {
	d := &Decoder{datagramCount: rand.Uint64()}
	d.parser4 = newParser(layers.LayerTypeIPv4, &d.ip4, &d.tcp, &d.udp)
	d.parser6 = newParser(layers.LayerTypeIPv6, &d.ip6, &d.tcp, &d.udp)
	return d
}

func newParser(first gopacket.LayerType, decoders ...gopacket.DecodingLayer) *gopacket.DecodingLayerParser {
	container := gopacket.DecodingLayerContainer(gopacket.DecodingLayerArray(nil))
	for _, decoder := range decoders {
		container = container.Put(decoder)
	}
	parser := gopacket.NewDecodingLayerParser(first)
	parser.IgnoreUnsupported = true
	parser.SetDecodingLayerContainer(container)
	return parser
}

// Decode decodes one IP packet into p. It leaves Relayed, From and Relay unset and
// keeps no reference to data in p. The error is an Error.
//
// For TCP, Progress combines the end of the segment's sequence range with its
// acknowledgment number, and differs between segments with and without payload. It
// repeats only for retransmissions and duplicate acknowledgments. For UDP it never
// repeats.
func (d *Decoder) Decode(data []byte, p *traffic.Packet) error {
	if err := d.decodeLayers(data); err != nil {
		return err
	}
	*p = traffic.Packet{Size: len(data)}
	switch d.decodedLayers[len(d.decodedLayers)-1] {
	case layers.LayerTypeTCP:
		return d.fillTCP(p)
	case layers.LayerTypeUDP:
		return d.fillUDP(p)
	default:
		return d.unsupportedError()
	}
}

func (d *Decoder) decodeLayers(data []byte) error {
	parser, err := d.parserFor(data)
	if err != nil {
		return err
	}
	err = parser.DecodeLayers(data, &d.decodedLayers)
	if parser.Truncated {
		return ErrTruncated
	}
	if err != nil || len(d.decodedLayers) == 0 {
		return ErrMalformed
	}
	return d.checkHeader(data)
}

// checkHeader rejects wrong lengths and IPv4 checksums, which the parser accepts.
func (d *Decoder) checkHeader(data []byte) error {
	if !d.isIPv4() {
		if ipv6HeaderSize+int(d.ip6.Length) != len(data) {
			return ErrMalformed
		}
		return nil
	}
	if int(binary.BigEndian.Uint16(data[2:4])) != len(data) {
		return ErrMalformed
	}
	if !validChecksum(d.ip4.Contents) {
		return ErrChecksum
	}
	return nil
}

// validChecksum reports whether the checksum of an IPv4 header is correct.
func validChecksum(header []byte) bool {
	var sum uint32
	for i := 0; i+1 < len(header); i += 2 {
		sum += uint32(binary.BigEndian.Uint16(header[i:]))
	}
	sum = sum>>16 + sum&0xffff
	return sum+sum>>16 == 0xffff
}

func (d *Decoder) parserFor(data []byte) (*gopacket.DecodingLayerParser, error) {
	if len(data) == 0 {
		return nil, ErrTruncated
	}
	switch data[0] >> 4 {
	case versionIPv4:
		return d.parser4, nil
	case versionIPv6:
		if len(data) > ipv6NextHeader && data[ipv6NextHeader] == byte(layers.IPProtocolIPv6HopByHop) {
			return nil, ErrProtocol
		}
		return d.parser6, nil
	default:
		return nil, ErrVersion
	}
}

func (d *Decoder) isIPv4() bool {
	return d.decodedLayers[0] == layers.LayerTypeIPv4
}

// unsupportedError returns the error for a packet without a supported transport header.
func (d *Decoder) unsupportedError() error {
	next := d.ip6.NextLayerType()
	if d.isIPv4() {
		next = d.ip4.NextLayerType()
	}
	switch next {
	case gopacket.LayerTypeFragment, layers.LayerTypeIPv6Fragment:
		return ErrFragment
	default:
		return ErrProtocol
	}
}

func (d *Decoder) fillTCP(p *traffic.Packet) error {
	kind, err := tcpKind(&d.tcp)
	if err != nil {
		return err
	}
	p.Kind = kind
	p.PayloadSize = len(d.tcp.Payload)
	p.Progress = tcpProgress(&d.tcp)
	return d.fillKey(p, state.TCP, uint16(d.tcp.SrcPort), uint16(d.tcp.DstPort))
}

func (d *Decoder) fillUDP(p *traffic.Packet) error {
	if int(d.udp.Length) != len(d.networkPayload()) {
		return ErrMalformed
	}
	d.datagramCount++
	p.Kind = traffic.KindDatagram
	p.PayloadSize = len(d.udp.Payload)
	p.Progress = d.datagramCount
	return d.fillKey(p, state.UDP, uint16(d.udp.SrcPort), uint16(d.udp.DstPort))
}

func (d *Decoder) networkPayload() []byte {
	if d.isIPv4() {
		return d.ip4.Payload
	}
	return d.ip6.Payload
}

func (d *Decoder) fillKey(p *traffic.Packet, protocol state.Protocol, source, destination uint16) error {
	client, service := d.addresses()
	if !isUnicast(client) || !isUnicast(service) || source == 0 || destination == 0 {
		return ErrAddress
	}
	p.Key = state.FlowKey{
		Protocol: protocol,
		Caller:   netip.AddrPortFrom(client, source),
		Service:  netip.AddrPortFrom(service, destination),
	}
	p.Fingerprint = p.Key.Fingerprint()
	return nil
}

func (d *Decoder) addresses() (client, service netip.Addr) {
	if d.isIPv4() {
		client, _ = netip.AddrFromSlice(d.ip4.SrcIP)
		service, _ = netip.AddrFromSlice(d.ip4.DstIP)
		return client, service
	}
	client, _ = netip.AddrFromSlice(d.ip6.SrcIP)
	service, _ = netip.AddrFromSlice(d.ip6.DstIP)
	return client, service
}

func isUnicast(addr netip.Addr) bool {
	return addr.IsValid() && !addr.IsUnspecified() && !addr.IsMulticast()
}

// tcpKind returns the kind of a segment by its flags. Combinations that no flow has are
// ErrFlags.
func tcpKind(tcp *layers.TCP) (traffic.PacketKind, error) {
	if tcp.SYN && (tcp.FIN || tcp.RST) {
		return 0, ErrFlags
	}
	switch {
	case tcp.RST:
		return traffic.KindRST, nil
	case tcp.SYN && !tcp.ACK:
		return traffic.KindSYN, nil
	case !tcp.ACK:
		return 0, ErrFlags
	case tcp.FIN:
		return traffic.KindFIN, nil
	default:
		return traffic.KindData, nil
	}
}

// payloadBit is inverted in the progress of segments with payload, to distinguish them
// from pure acknowledgments.
const payloadBit = 1 << 63

func tcpProgress(tcp *layers.TCP) uint64 {
	v := uint64(sequenceEnd(tcp))<<32 | uint64(tcp.Ack)
	if len(tcp.Payload) > 0 {
		v ^= payloadBit
	}
	return v
}

// sequenceEnd returns the sequence number after the segment (SEG.SEQ + SEG.LEN).
func sequenceEnd(tcp *layers.TCP) uint32 {
	end := tcp.Seq + uint32(len(tcp.Payload))
	if tcp.SYN {
		end++
	}
	if tcp.FIN {
		end++
	}
	return end
}
