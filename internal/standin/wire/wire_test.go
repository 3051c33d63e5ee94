package wire

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/state"
)

// A packet must decode to the fields that it was encoded from.
func TestRoundTrip(t *testing.T) {
	addresses := []string{"10.1.2.3", "198.51.100.9", "2001:db8::1", "2001:db8::2"}
	rapid.Check(t, func(t *rapid.T) {
		pair := rapid.SampledFrom([]int{0, 2}).Draw(t, "family")
		port := rapid.Uint16Min(1)
		p := Packet{
			Protocol: rapid.SampledFrom([]state.Protocol{state.TCP, state.UDP}).Draw(t, "protocol"),
			Source:   netip.AddrPortFrom(netip.MustParseAddr(addresses[pair]), port.Draw(t, "from")),
			Dest:     netip.AddrPortFrom(netip.MustParseAddr(addresses[pair+1]), port.Draw(t, "to")),
			Payload:  rapid.SliceOfN(rapid.Byte(), 1, MaxPayload).Draw(t, "payload"),
		}
		if p.Protocol == state.TCP {
			p.Flags = Flags(rapid.IntRange(0, 31).Draw(t, "flags"))
			p.Seq = rapid.Uint32().Draw(t, "seq")
			p.Ack = rapid.Uint32().Draw(t, "ack")
		}
		encoded, err := Encode(p)
		require.NoError(t, err)
		var decoder Decoder
		decoded, err := decoder.Decode(encoded)
		require.NoError(t, err)
		require.Equal(t, p, decoded)
	})
}

// Decode must neither panic on arbitrary bytes nor accept truncated packets.
func TestDecodeRejectsMalformedPackets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var decoder Decoder
		_, _ = decoder.Decode(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
	var decoder Decoder
	for _, bytes := range [][]byte{nil, {0x01}, {0x45, 0}, {0x60}} {
		_, err := decoder.Decode(bytes)
		require.Error(t, err)
	}
}
