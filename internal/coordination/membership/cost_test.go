package membership

import (
	"math/rand/v2"
	"runtime"
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
	c := l.cost(measured)
	t.Logf("%v: messages/s mean %.1f max %.1f, bytes/s mean %.0f max %.0f", sizes, c.messages, c.maxMessages, c.bytes, c.maxBytes)
	return c
}

// measured is the virtual time over which cost is averaged.
const measured = 30 * time.Second

// cost runs for a while and returns what was sent. The types that gob sends
// once per connection are left out.
func (l *link) cost(d time.Duration) cost {
	for _, n := range l.nodes {
		n.wire = newWire()
		for _, r := range Messages() {
			n.wire.request(n.host, r.Message)
		}
		n.wire.request(n.host, Probe{Gossip: Gossip{Entries: []Entry{{}}}})
		n.wire.response()
		n.wire.buffer.Reset()
		n.sent = 0
	}
	l.run(d)
	var c cost
	for _, n := range l.nodes {
		messages := float64(n.sent) / d.Seconds()
		bytes := float64(n.wire.buffer.Len()) / d.Seconds()
		c.messages += messages / float64(len(l.nodes))
		c.bytes += bytes / float64(len(l.nodes))
		c.maxMessages = max(c.maxMessages, messages)
		c.maxBytes = max(c.maxBytes, bytes)
	}
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
// seven other domains: ten ticks, answered probes and two probes of others.
func BenchmarkSecond(b *testing.B) {
	self := testHost(1, 0)
	before := memoryInUse()
	m := New(self, firstRun, rand.New(rand.NewPCG(1, 1)))
	now := epoch
	add := func(h state.Host) { m.Receive(now, h, Ack{Gossip: Gossip{Incarnation: firstIncarnation(firstRun)}}) }
	for i := range 650 {
		add(testHost(1, i))
	}
	for d := range 7 {
		for i := range MaxContacts {
			add(testHost(2+d, i))
		}
	}
	m.updates = updates{}
	known := len(m.View().Members) - 1
	memory := float64(memoryInUse()-before) / float64(known)
	gossip := Gossip{Incarnation: firstIncarnation(firstRun), Entries: []Entry{m.table.sorted[5].entry(), m.table.sorted[6].entry()}}
	second := func() {
		for range 10 {
			now = now.Add(tickInterval)
			for _, o := range m.Tick(now) {
				if p, ok := o.Message.(Probe); ok {
					m.Receive(now, o.To, Ack{Seq: p.Seq, Gossip: gossip})
				}
			}
		}
		for i := range 2 {
			m.Receive(now, testHost(1, 1+i), Probe{Seq: 1, Gossip: gossip})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		second()
	}
	require.Len(b, m.View().Members, 650+7*MaxContacts)
	b.ReportMetric(memory, "B/known-host")
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLargeDomain reports what a host spends in a domain of 650 hosts,
// quiet, and after thirty of them were killed at once.
func BenchmarkLargeDomain(b *testing.B) {
	const size, killed = 650, 30
	for b.Loop() {
		l := newLink(b, 1)
		l.domains(size)
		l.acquaint()
		quiet := l.cost(measured)
		for _, n := range l.nodes[:killed] {
			n.killed = true
		}
		died := l.now
		_, ok := l.until(2*time.Minute, func() bool {
			return len(l.nodes[killed].machine.contacts("domain-1")) == size-killed-1
		})
		require.True(b, ok)
		b.ReportMetric(l.now.Sub(died).Seconds(), "s-to-drop-30")
		busy := l.cost(measured)
		b.ReportMetric(quiet.bytes, "bytes/s-quiet")
		b.ReportMetric(quiet.maxBytes, "bytes/s-quiet-max")
		b.ReportMetric(busy.bytes, "bytes/s-busy")
		b.ReportMetric(busy.maxBytes, "bytes/s-busy-max")
	}
}
