package relaywire

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
)

// FuzzDecode checks that each accepted datagram encodes to the same bytes again.
func FuzzDecode(f *testing.F) {
	f.Add(Append(nil, relay.Header{Kind: relay.KindPacket, Hops: 1}, []byte{0x45}))
	f.Add(Append(nil, relay.Header{Kind: relay.KindConfirm, Verdict: relay.VerdictRefuse}, nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		header, packet, err := Decode(data)
		if err != nil {
			require.IsType(t, Error(0), err)
			return
		}
		require.LessOrEqual(t, header.Hops, uint8(relay.MaxHops))
		require.Equal(t, data, Append(nil, header, packet))
	})
}
