package workers

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/protocol/relaywire"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
)

// corrupt returns a copy with up to three random bytes changed, truncated in half of
// the cases.
func corrupt(rng *rand.Rand, data []byte) []byte {
	garbled := append([]byte(nil), data...)
	for range rng.IntN(4) {
		garbled[rng.IntN(len(garbled))] = byte(rng.Uint32())
	}
	if rng.IntN(2) == 0 {
		garbled = garbled[:rng.IntN(len(garbled))]
	}
	return garbled
}

// TestEveryCorruptDatagramIsCountedOnce sends corrupt packets to both sockets. Each
// must be forwarded, accepted as a record message or counted as exactly one error.
func TestEveryCorruptDatagramIsCountedOnce(t *testing.T) {
	const count, seed = 2000, 1
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	b := newTestPool(t, nil)
	packet := opening(t, 40000)
	relayed := relaywire.Append(nil, relay.Header{Kind: relay.KindPacket}, packet)
	fabric, peer := udp.NewWriter(b.fabricPeer), udp.NewWriter(b.peer)
	for range count {
		fabric.Add(corrupt(rng, packet), b.pool.settings.Fabric.Address())
		peer.Add(corrupt(rng, relayed), b.pool.settings.Relay.Address())
	}
	require.Zero(t, fabric.Flush()+peer.Flush())
	require.Eventually(t, func() bool {
		counted := int64(len(b.engine.records)) + b.counter(t, "forwarded")
		for _, counter := range b.pool.Counters() {
			isError := strings.HasPrefix(counter.Name, "packet_") || strings.HasPrefix(counter.Name, "relay_")
			if isError && counter.Name != "relay_received" {
				counted += counter.Value
			}
		}
		return counted == 2*count
	}, time.Minute, 10*time.Millisecond)
	require.Less(t, b.counter(t, "forwarded"), int64(2*count))
}
