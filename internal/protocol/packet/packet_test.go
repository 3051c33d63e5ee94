package packet

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	callerPort  = 40000
	servicePort = 443
)

type serializable interface {
	gopacket.NetworkLayer
	gopacket.SerializableLayer
}

func network4(protocol layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{
		Version: 4, TTL: 64, Protocol: protocol,
		SrcIP: net.IP{192, 0, 2, 1}, DstIP: net.IP{198, 51, 100, 1},
	}
}

func network6(protocol layers.IPProtocol) *layers.IPv6 {
	return &layers.IPv6{
		Version: 6, HopLimit: 64, NextHeader: protocol,
		SrcIP: net.ParseIP("2001:db8::1"), DstIP: net.ParseIP("2001:db8::2"),
	}
}

func build(t testing.TB, parts ...gopacket.SerializableLayer) []byte {
	t.Helper()
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	require.NoError(t, gopacket.SerializeLayers(buffer, options, parts...))
	return buffer.Bytes()
}

func segment(t testing.TB, network serializable, tcp layers.TCP, payload string) []byte {
	t.Helper()
	tcp.SrcPort, tcp.DstPort = callerPort, servicePort
	require.NoError(t, tcp.SetNetworkLayerForChecksum(network))
	return build(t, network, &tcp, gopacket.Payload(payload))
}

func datagram(t testing.TB, network serializable, payload string) []byte {
	t.Helper()
	udp := layers.UDP{SrcPort: callerPort, DstPort: servicePort}
	require.NoError(t, udp.SetNetworkLayerForChecksum(network))
	return build(t, network, &udp, gopacket.Payload(payload))
}

func key4(protocol state.Protocol) state.FlowKey {
	return state.FlowKey{
		Protocol: protocol,
		Caller:   netip.MustParseAddrPort("192.0.2.1:40000"),
		Service:  netip.MustParseAddrPort("198.51.100.1:443"),
	}
}

func key6(protocol state.Protocol) state.FlowKey {
	return state.FlowKey{
		Protocol: protocol,
		Caller:   netip.MustParseAddrPort("[2001:db8::1]:40000"),
		Service:  netip.MustParseAddrPort("[2001:db8::2]:443"),
	}
}

func TestDecodeKinds(t *testing.T) {
	tcp4, tcp6 := network4(layers.IPProtocolTCP), network6(layers.IPProtocolTCP)
	tests := []struct {
		name    string
		data    []byte
		key     state.FlowKey
		kind    traffic.PacketKind
		payload int
	}{
		{"syn", segment(t, tcp4, layers.TCP{SYN: true, Seq: 7}, ""), key4(state.TCP), traffic.KindSYN, 0},
		{"data", segment(t, tcp4, layers.TCP{ACK: true}, "abc"), key4(state.TCP), traffic.KindData, 3},
		{"fin", segment(t, tcp6, layers.TCP{ACK: true, FIN: true}, ""), key6(state.TCP), traffic.KindFIN, 0},
		{"rst", segment(t, tcp6, layers.TCP{RST: true}, ""), key6(state.TCP), traffic.KindRST, 0},
		{"udp4", datagram(t, network4(layers.IPProtocolUDP), "abcd"), key4(state.UDP), traffic.KindDatagram, 4},
		{"udp6", datagram(t, network6(layers.IPProtocolUDP), ""), key6(state.UDP), traffic.KindDatagram, 0},
	}
	decoder := NewDecoder()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p traffic.Packet
			require.NoError(t, decoder.Decode(test.data, &p))
			require.Equal(t, test.key, p.Key)
			require.Equal(t, test.key.Fingerprint(), p.Fingerprint)
			require.Equal(t, test.kind, p.Kind)
			require.Equal(t, test.payload, p.PayloadSize)
			require.Equal(t, len(test.data), p.Size)
		})
	}
}

func withByte(data []byte, offset int, value byte) []byte {
	result := append([]byte(nil), data...)
	result[offset] = value
	return result
}

func TestDecodeErrors(t *testing.T) {
	tcp4, tcp6 := network4(layers.IPProtocolTCP), network6(layers.IPProtocolTCP)
	syn4 := segment(t, tcp4, layers.TCP{SYN: true}, "")
	syn6 := segment(t, tcp6, layers.TCP{SYN: true}, "")
	udp6 := datagram(t, network6(layers.IPProtocolUDP), "abc")
	fragment := network4(layers.IPProtocolTCP)
	fragment.Flags = layers.IPv4MoreFragments
	toMulticast := network4(layers.IPProtocolTCP)
	toMulticast.DstIP = net.IP{224, 0, 0, 1}
	tests := []struct {
		name string
		data []byte
		want Error
	}{
		{"empty", nil, ErrTruncated},
		{"version", []byte{0x10, 0, 0}, ErrVersion},
		{"short ip4", syn4[:19], ErrTruncated},
		{"short tcp", syn4[:30], ErrTruncated},
		{"short ip6", syn6[:39], ErrTruncated},
		{"cut ip6", syn6[:50], ErrTruncated},
		{"trailing ip4", append(withByte(syn4, 0, syn4[0]), 0), ErrMalformed},
		{"trailing ip6", append(withByte(syn6, 0, syn6[0]), 0), ErrMalformed},
		{"zero length", withByte(withByte(syn4, 2, 0), 3, 0), ErrMalformed},
		{"header length", withByte(syn4, 0, 0x44), ErrMalformed},
		{"checksum", withByte(syn4, 8, 63), ErrChecksum},
		{"data offset", withByte(syn4, 32, 0x40), ErrMalformed},
		{"udp length", withByte(udp6, 45, 9), ErrMalformed},
		{"fragment4", segment(t, fragment, layers.TCP{SYN: true}, ""), ErrFragment},
		{"fragment6", withByte(syn6, ipv6NextHeader, 44), ErrFragment},
		{"hop by hop", withByte(syn6, ipv6NextHeader, 0), ErrProtocol},
		{"icmp", build(t, network4(layers.IPProtocolICMPv4), gopacket.Payload("abcdefgh")), ErrProtocol},
		{"multicast", segment(t, toMulticast, layers.TCP{SYN: true}, ""), ErrAddress},
		{"port 0", withByte(withByte(syn4, 22, 0), 23, 0), ErrAddress},
		{"no flags", segment(t, tcp4, layers.TCP{}, ""), ErrFlags},
		{"syn fin", segment(t, tcp4, layers.TCP{SYN: true, FIN: true}, ""), ErrFlags},
	}
	decoder := NewDecoder()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p traffic.Packet
			require.Equal(t, test.want, decoder.Decode(test.data, &p))
		})
	}
}

func TestProgressRepeatsOnlyForRetransmissions(t *testing.T) {
	tcp4 := network4(layers.IPProtocolTCP)
	decoder := NewDecoder()
	progressOf := func(data []byte) uint64 {
		var p traffic.Packet
		require.NoError(t, decoder.Decode(data, &p))
		return p.Progress
	}
	request := segment(t, tcp4, layers.TCP{ACK: true, Seq: 100, Ack: 50}, "abc")
	others := [][]byte{
		segment(t, tcp4, layers.TCP{ACK: true, Seq: 100, Ack: 50}, ""),
		segment(t, tcp4, layers.TCP{ACK: true, Seq: 103, Ack: 50}, ""),
		segment(t, tcp4, layers.TCP{ACK: true, Seq: 103, Ack: 50}, "abc"),
		segment(t, tcp4, layers.TCP{ACK: true, Seq: 100, Ack: 51}, "abc"),
		segment(t, tcp4, layers.TCP{ACK: true, Seq: 100, Ack: 50}, "abcd"),
	}
	require.Equal(t, progressOf(request), progressOf(request))
	for _, variant := range others {
		require.NotEqual(t, progressOf(request), progressOf(variant))
	}
	udp := datagram(t, network4(layers.IPProtocolUDP), "abc")
	require.NotEqual(t, progressOf(udp), progressOf(udp))
}

func TestDecodeDoesNotAllocate(t *testing.T) {
	decoder := NewDecoder()
	data := segment(t, network4(layers.IPProtocolTCP), layers.TCP{ACK: true}, "abc")
	var p traffic.Packet
	require.Zero(t, testing.AllocsPerRun(100, func() {
		_ = decoder.Decode(data, &p)
	}))
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	tests := []struct {
		name string
		data []byte
		key  state.FlowKey
	}{
		{"tcp4", segment(t, network4(layers.IPProtocolTCP), layers.TCP{SYN: true, Seq: 9}, ""), key4(state.TCP)},
		{"tcp6", segment(t, network6(layers.IPProtocolTCP), layers.TCP{SYN: true, Seq: 9}, ""), key6(state.TCP)},
		{"udp4", datagram(t, network4(layers.IPProtocolUDP), "a"), key4(state.UDP)},
		{"udp6", datagram(t, network6(layers.IPProtocolUDP), "a"), key6(state.UDP)},
		{"long udp4", datagram(t, network4(layers.IPProtocolUDP), string(make([]byte, 1000))), key4(state.UDP)},
		{"long udp6", datagram(t, network6(layers.IPProtocolUDP), string(make([]byte, 1000))), key6(state.UDP)},
	}
	builder := NewReplyBuilder()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reply, err := builder.BuildRefusal(test.data, 1500*time.Millisecond)
			require.NoError(t, err)
			refusal, ok := ParseRefusal(reply)
			require.True(t, ok)
			require.Equal(t, Refusal{Key: test.key, RetryAfter: 1500 * time.Millisecond}, refusal)
			_, ok = ParseRefusal(test.data)
			require.False(t, ok)
		})
	}
}

// decodeReply decodes a reply with gopacket, independently of this package's Decoder.
func decodeReply(t *testing.T, data []byte) *layers.TCP {
	t.Helper()
	p := gopacket.NewPacket(data, layers.LayerTypeIPv4, gopacket.Default)
	require.Nil(t, p.ErrorLayer())
	tcp, ok := p.Layer(layers.LayerTypeTCP).(*layers.TCP)
	require.True(t, ok)
	return tcp
}

func TestRefusalAcknowledgesSYN(t *testing.T) {
	syn := segment(t, network4(layers.IPProtocolTCP), layers.TCP{SYN: true, Seq: 9}, "")
	reply, err := NewReplyBuilder().BuildRefusal(syn, time.Second)
	require.NoError(t, err)
	tcp := decodeReply(t, reply)
	require.True(t, tcp.RST && tcp.ACK)
	require.Equal(t, uint32(10), tcp.Ack)
	require.Equal(t, layers.TCPPort(callerPort), tcp.DstPort)
}

func TestResetUsesAcknowledgedSequence(t *testing.T) {
	data := segment(t, network4(layers.IPProtocolTCP), layers.TCP{ACK: true, Seq: 9, Ack: 77}, "abc")
	reply, err := NewReplyBuilder().BuildReset(data)
	require.NoError(t, err)
	tcp := decodeReply(t, reply)
	require.True(t, tcp.RST)
	require.Equal(t, uint32(77), tcp.Seq)
	_, ok := ParseRefusal(reply)
	require.False(t, ok)
}

func TestBuildRejectsOtherPackets(t *testing.T) {
	tcp4 := network4(layers.IPProtocolTCP)
	for _, flags := range []layers.TCP{{ACK: true}, {ACK: true, FIN: true}, {RST: true}} {
		_, err := NewReplyBuilder().BuildRefusal(segment(t, tcp4, flags, ""), time.Second)
		require.Equal(t, ErrNotAnswerable, err)
	}
	_, err := NewReplyBuilder().BuildReset(segment(t, tcp4, layers.TCP{RST: true}, ""))
	require.Equal(t, ErrNotAnswerable, err)
}
