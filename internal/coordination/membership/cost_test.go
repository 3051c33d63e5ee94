package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
