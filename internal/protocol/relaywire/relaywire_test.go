package relaywire

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

func drawHeader(t *rapid.T) relay.Header {
	return relay.Header{
		Kind:       relay.Kind(rapid.IntRange(1, 4).Draw(t, "kind")),
		Hops:       uint8(rapid.IntRange(0, relay.MaxHops).Draw(t, "hops")),
		Position:   rapid.Uint8().Draw(t, "position"),
		Target:     state.TargetNumber(rapid.Uint32().Draw(t, "target")),
		Service:    state.ServiceNumber(rapid.Uint32().Draw(t, "service")),
		Verdict:    relay.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict")),
		Reason:     rapid.Uint8().Draw(t, "reason"),
		RetryAfter: rapid.Uint16().Draw(t, "retry after"),
		Fingerprint: state.Fingerprint{
			High: rapid.Uint64().Draw(t, "high"),
			Low:  rapid.Uint64().Draw(t, "low"),
		},
	}
}

func TestDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		header := drawHeader(t)
		var packet []byte
		if CarriesPacket(header.Kind) {
			packet = rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "packet")
		}
		gotHeader, gotPacket, err := Decode(Append(nil, header, packet))
		require.NoError(t, err)
		require.Equal(t, header, gotHeader)
		require.Equal(t, string(packet), string(gotPacket))
	})
}

func TestDecodeErrors(t *testing.T) {
	valid := relay.Header{Kind: relay.KindPacket}
	with := func(change func(*relay.Header)) []byte {
		header := valid
		change(&header)
		return Append(nil, header, []byte{0x45})
	}
	otherVersion := Append(nil, valid, []byte{0x45})
	otherVersion[0] = relay.Version + 1
	tests := []struct {
		name string
		data []byte
		want Error
	}{
		{"empty", nil, ErrShort},
		{"short", make([]byte, relay.HeaderSize-1), ErrShort},
		{"version", otherVersion, ErrVersion},
		{"kind 0", with(func(h *relay.Header) { h.Kind = 0 }), ErrKind},
		{"kind 5", with(func(h *relay.Header) { h.Kind = 5 }), ErrKind},
		{"hops", with(func(h *relay.Header) { h.Hops = relay.MaxHops + 1 }), ErrTooManyHops},
		{"verdict", with(func(h *relay.Header) { h.Verdict = 3 }), ErrVerdict},
		{"no packet", Append(nil, valid, nil), ErrBody},
		{"record with packet", with(func(h *relay.Header) { h.Kind = relay.KindRecord }), ErrBody},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := Decode(test.data)
			require.Equal(t, test.want, err)
		})
	}
}
