package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
)

// maxBytesPerSecond is what a host may spend on control.
const maxBytesPerSecond = 4096

// cost is what one host spends a second: on average and at most.
type cost struct {
	messages, maxMessages float64
	bytes, maxBytes       float64
}

// steadyCost measures a minute of steady state.
func steadyCost(t *testing.T, seed uint64, sizes ...int) cost {
	l := newLink(t, seed)
	l.domains(sizes...)
	_, ok := l.until(time.Minute, l.complete)
	require.True(t, ok)
	_, ok = l.until(10*time.Minute, l.quiet)
	require.True(t, ok)
	for _, n := range l.nodes {
		n.wire = newWire()
		n.wire.request(n.host, Probe{Gossip: Gossip{Entries: []Entry{{}}}})
		n.wire.response()
		n.wire.buffer.Reset()
		n.sent = 0
	}
	const seconds = 60
	l.run(seconds * time.Second)
	var c cost
	for _, n := range l.nodes {
		messages := float64(n.sent) / seconds
		bytes := float64(n.wire.buffer.Len()) / seconds
		c.messages += messages / float64(len(l.nodes))
		c.bytes += bytes / float64(len(l.nodes))
		c.maxMessages = max(c.maxMessages, messages)
		c.maxBytes = max(c.maxBytes, bytes)
	}
	t.Logf("%v: messages/s mean %.1f max %.1f, bytes/s mean %.0f max %.0f", sizes, c.messages, c.maxMessages, c.bytes, c.maxBytes)
	return c
}

func TestCostDoesNotGrowWithTheDomain(t *testing.T) {
	var costs []cost
	for _, size := range []int{3, 7, 30, 100} {
		c := steadyCost(t, 1, size)
		require.LessOrEqual(t, c.maxBytes, float64(maxBytesPerSecond))
		costs = append(costs, c)
	}
	require.InEpsilon(t, costs[1].bytes, costs[3].bytes, 0.25, "flat from 7 to 100 hosts")
}

func TestCostOfSeveralDomains(t *testing.T) {
	for _, sizes := range [][]int{{3, 2, 2}, {2, 2, 2, 1}, {20, 20, 20, 1}, {10, 10, 10, 10, 10, 10, 10, 1}} {
		require.LessOrEqual(t, steadyCost(t, 1, sizes...).maxBytes, float64(maxBytesPerSecond))
	}
}

// BenchmarkSecond is one second of a host in a domain of 650 hosts that knows
// seven other domains: ten ticks and eight messages.
func BenchmarkSecond(b *testing.B) {
	self := testHost(1, 0)
	m := New(self, 1, rand.New(rand.NewPCG(1, 1)))
	now := epoch
	add := func(h state.Host) { m.Receive(now, h, Ack{Gossip: Gossip{Incarnation: 1}}) }
	for i := range 650 {
		add(testHost(1, i))
	}
	for d := range 7 {
		for i := range MaxContacts {
			add(testHost(2+d, i))
		}
	}
	peer := testHost(1, 1)
	gossip := Gossip{Incarnation: 1, Entries: []Entry{m.table.sorted[5].entry(), m.table.sorted[6].entry()}}
	b.ReportAllocs()
	for b.Loop() {
		for range 10 {
			now = now.Add(tickInterval)
			m.Tick(now)
			for _, k := range m.table.sorted {
				k.status = state.HostAlive
			}
		}
		for range 4 {
			m.Receive(now, peer, Probe{Seq: 1, Gossip: gossip})
			m.Receive(now, peer, Ack{Seq: 1, Gossip: gossip})
		}
	}
}
