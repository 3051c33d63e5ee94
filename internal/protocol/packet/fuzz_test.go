package packet

import (
	"testing"
	"time"

	"github.com/google/gopacket/layers"
	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
)

func addSeedPackets(f *testing.F) {
	f.Helper()
	for _, network := range []serializable{network4(layers.IPProtocolTCP), network6(layers.IPProtocolTCP)} {
		f.Add(segment(f, network, layers.TCP{SYN: true, Seq: 7}, ""))
		f.Add(segment(f, network, layers.TCP{ACK: true, PSH: true, Seq: 8, Ack: 9}, "abc"))
		f.Add(segment(f, network, layers.TCP{ACK: true, FIN: true}, ""))
	}
	f.Add(datagram(f, network4(layers.IPProtocolUDP), "abc"))
	f.Add(datagram(f, network6(layers.IPProtocolUDP), "abc"))
}

// FuzzDecode checks that every input is either rejected with an Error or decoded to a
// packet with consistent sizes, and that a second decoding gives the same error or flow.
func FuzzDecode(f *testing.F) {
	addSeedPackets(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second traffic.Packet
		decoder := NewDecoder()
		err := decoder.Decode(data, &first)
		require.Equal(t, err, decoder.Decode(data, &second))
		if err != nil {
			require.IsType(t, Error(0), err)
			return
		}
		require.Equal(t, first.Key, second.Key)
		require.Equal(t, first.Key.Fingerprint(), first.Fingerprint)
		require.Equal(t, len(data), first.Size)
		require.Less(t, first.PayloadSize, first.Size)
	})
}

// FuzzAnswers checks that the refusal of any accepted packet can be parsed.
func FuzzAnswers(f *testing.F) {
	addSeedPackets(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var p traffic.Packet
		if NewDecoder().Decode(data, &p) != nil {
			return
		}
		reply, err := NewReplyBuilder().BuildRefusal(data, time.Second)
		if err != nil {
			require.Equal(t, ErrNotAnswerable, err)
			return
		}
		refusal, ok := ParseRefusal(reply)
		require.True(t, ok)
		require.Equal(t, Refusal{Key: p.Key, RetryAfter: time.Second}, refusal)
	})
}

// FuzzParseRefusal checks that no input makes ParseRefusal panic and that a parsed
// refusal has a valid client address.
func FuzzParseRefusal(f *testing.F) {
	addSeedPackets(f)
	builder := NewReplyBuilder()
	for _, data := range [][]byte{
		segment(f, network4(layers.IPProtocolTCP), layers.TCP{SYN: true}, ""),
		datagram(f, network6(layers.IPProtocolUDP), "abc"),
	} {
		reply, err := builder.BuildRefusal(data, time.Second)
		require.NoError(f, err)
		f.Add(append([]byte(nil), reply...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		refusal, ok := ParseRefusal(data)
		if ok {
			require.True(t, refusal.Key.Caller.IsValid())
		}
	})
}
