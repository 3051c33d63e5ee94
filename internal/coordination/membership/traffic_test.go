package membership

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
)

// maxBytesPerSecond is the limit of the membership traffic that a host sends.
const maxBytesPerSecond = 4096

// trafficRate is the rate per second at which a host sends: the mean over all hosts and
// the maximum of any host.
type trafficRate struct {
	messages, maxMessages float64
	bytes, maxBytes       float64
}

// measureSteadyTraffic measures the traffic in steady state: all hosts have joined and no
// update is left to gossip.
func measureSteadyTraffic(t *testing.T, seed uint64, sizes ...int) trafficRate {
	l := newLink(t, seed)
	l.domains(sizes...)
	_, ok := l.runUntil(time.Minute, l.allJoined)
	require.True(t, ok)
	_, ok = l.runUntil(10*time.Minute, l.noPendingUpdates)
	require.True(t, ok)
	rate := l.measureTraffic(measuredTime)
	t.Logf("%v: messages/s mean %.1f max %.1f, bytes/s mean %.0f max %.0f", sizes, rate.messages, rate.maxMessages, rate.bytes, rate.maxBytes)
	return rate
}

// measuredTime is the virtual time over which rates are averaged.
const measuredTime = 30 * time.Second

// measureTraffic runs for the given time and returns the rates at which hosts sent. The
// type descriptions that gob sends once per connection are excluded.
func (l *link) measureTraffic(d time.Duration) trafficRate {
	for _, n := range l.nodes {
		n.wire = newWireMeter()
		for _, r := range Messages() {
			n.wire.request(n.host, r.Message)
		}
		n.wire.request(n.host, Probe{Gossip: Gossip{Entries: []Entry{{}}}})
		n.wire.response()
		n.wire.buffer.Reset()
		n.sentMessages = 0
	}
	l.run(d)
	var rate trafficRate
	for _, n := range l.nodes {
		messages := float64(n.sentMessages) / d.Seconds()
		bytes := float64(n.wire.buffer.Len()) / d.Seconds()
		rate.messages += messages / float64(len(l.nodes))
		rate.bytes += bytes / float64(len(l.nodes))
		rate.maxMessages = max(rate.maxMessages, messages)
		rate.maxBytes = max(rate.maxBytes, bytes)
	}
	return rate
}

// TestTrafficIsIndependentOfDomainSize checks that the traffic of a host stays within the
// limit, and within 25 % of the same rate in domains of 7 and of 100 hosts.
func TestTrafficIsIndependentOfDomainSize(t *testing.T) {
	var rates []trafficRate
	for _, size := range []int{3, 7, 30, 100} {
		rate := measureSteadyTraffic(t, 1, size)
		require.LessOrEqual(t, rate.maxBytes, float64(maxBytesPerSecond))
		rates = append(rates, rate)
	}
	require.InEpsilon(t, rates[1].bytes, rates[3].bytes, 0.25, "the traffic of a host must not change between 7 and 100 hosts")
}

func TestTrafficWithSeveralDomains(t *testing.T) {
	for _, sizes := range [][]int{{3, 2, 2}, {2, 2, 2, 1}, {20, 20, 20, 1}, {10, 10, 10, 10, 10, 10, 10, 1}} {
		require.LessOrEqual(t, measureSteadyTraffic(t, 1, sizes...).maxBytes, float64(maxBytesPerSecond))
	}
}

// BenchmarkHostSecond measures one second of a host in a domain of 650 hosts that knows
// seven other domains: ten ticks, the answers to its probes, and two probes by others.
func BenchmarkHostSecond(b *testing.B) {
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
	m.updates = updateQueue{}
	known := len(m.View().Members) - 1
	memory := float64(memoryInUse()-before) / float64(known)
	gossip := Gossip{Incarnation: firstIncarnation(firstRun), Entries: []Entry{m.members.sorted[5].entry(), m.members.sorted[6].entry()}}
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

// BenchmarkLargeDomain reports the traffic of a host in a domain of 650 hosts, in steady
// state and after thirty of them were killed at once.
func BenchmarkLargeDomain(b *testing.B) {
	const size, killed = 650, 30
	for b.Loop() {
		l := newLink(b, 1)
		l.domains(size)
		l.introduceAll()
		steady := l.measureTraffic(measuredTime)
		for _, n := range l.nodes[:killed] {
			n.killed = true
		}
		killedAt := l.now
		_, ok := l.runUntil(2*time.Minute, func() bool {
			return len(l.nodes[killed].machine.liveMembers("domain-1")) == size-killed-1
		})
		require.True(b, ok)
		b.ReportMetric(l.now.Sub(killedAt).Seconds(), "s-to-drop-30")
		afterKill := l.measureTraffic(measuredTime)
		b.ReportMetric(steady.bytes, "bytes/s-quiet")
		b.ReportMetric(steady.maxBytes, "bytes/s-quiet-max")
		b.ReportMetric(afterKill.bytes, "bytes/s-busy")
		b.ReportMetric(afterKill.maxBytes, "bytes/s-busy-max")
	}
}
