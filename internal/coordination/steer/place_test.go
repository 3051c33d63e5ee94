package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

func TestFlowsStayInLocalFailureDomainWithCapacity(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"), orderTarget(3, "b"))
	for range 6 {
		require.Equal(t, state.DomainID("a"), b.newClient(feedAddress).establish().Domain)
	}
}

func TestBusyFailureDomainSpillsOver(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "b"))
	places := make(map[string]int)
	for range 12 {
		c := b.newClient(depositAddress)
		places[c.establish().Name]++
		c.sendRequest()
	}
	require.Greater(t, places["t2"], 3, "waiting requests raise the cost of the local target")
	require.Greater(t, places["t1"], places["t2"])
}

func TestWarmingUpTargetIsAvoided(t *testing.T) {
	warming := orderTarget(2, "a")
	warming.WarmUp = 2 * time.Second
	b := newFixture(t, orderTarget(1, "a"), warming)
	require.Equal(t, "t1", b.newClient(feedAddress).establish().Name)
	b.now += 3 * time.Second
	b.establishAt(feedAddress, "t2")
}

// The load is 300 long flows at 14 targets of one failure domain, with a short deposit
// flow after each, which stands for every third request.
func TestLongFlowsAreSpreadEvenly(t *testing.T) {
	var targets []catalog.Target
	for number := range 14 {
		targets = append(targets, orderTarget(number, "a"))
	}
	b := newFixture(t, targets...)
	counts := make(map[string]int)
	for range 300 {
		counts[b.newClient(feedAddress).establish().Name]++
		deposit := b.newClient(depositAddress)
		deposit.establish()
		deposit.sendRequest()
		b.now += 20 * time.Millisecond
		deposit.ackAnswer()
		deposit.send(Packet{Seq: deposit.seq, Ack: deposit.ack, FIN: true})
	}
	for name, count := range counts {
		require.LessOrEqual(t, float64(count), 1.10*300/14, name)
	}
}

func TestPoolsGetFlowsByWeight(t *testing.T) {
	b := newEmptyFixture(t)
	b.directory.SetConfig(catalog.Config{Version: 1, Routes: []catalog.Route{{
		Address: feedAddress,
		Pools:   []catalog.PoolWeight{{Pool: orderPool, Weight: 90}, {Pool: proofPool, Weight: 10}},
	}}})
	b.directory.Put(orderTarget(1, "a"))
	b.directory.Put(newTarget(2, "a", proofPool))
	b.publish()
	second := 0
	for range 1000 {
		if b.newClient(feedAddress).sendSYN().Target.Pool == proofPool {
			second++
		}
	}
	require.InDelta(t, 100, second, 40)
}

// For any sequence of packets, none is forwarded to a target that its route does not
// lead to, and the load counts match the tracked flows.
func TestNoPacketReachesAnotherService(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "b"), newTarget(3, "a", proofPool), newTarget(4, "b", proofPool))
		addresses := []netip.AddrPort{feedAddress, depositAddress, proofAddress, unroutedAddress}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			b.now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond
			p := Packet{
				Client:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(rapid.IntRange(1, 3).Draw(rt, "port"))),
				Service: rapid.SampledFrom(addresses).Draw(rt, "service"),
				Cookie:  orderTarget(rapid.IntRange(0, 5).Draw(rt, "cookie"), "a").ID.Cookie(),
				Seq:     uint32(rapid.IntRange(0, 3).Draw(rt, "seq") * 100),
				Ack:     uint32(rapid.IntRange(0, 3).Draw(rt, "ack") * 100),
				Length:  rapid.SampledFrom([]int{0, 100}).Draw(rt, "length"),
				SYN:     rapid.Bool().Draw(rt, "opening"),
				FIN:     rapid.IntRange(0, 9).Draw(rt, "final") == 0,
				RST:     rapid.IntRange(0, 9).Draw(rt, "reset") == 0,
			}
			verdicts := b.engine.HandleDeadlines(b.now, []Verdict{b.engine.HandlePacket(b.now, &p)})
			verdicts[0].Service = p.Service
			b.runChecks(func(catalog.TargetID) bool { return rapid.Bool().Draw(rt, "alive") })
			requireOwnService(rt, verdicts)
		}
		requireCounts(rt, b.engine)
	})
}

func requireOwnService(t require.TestingT, verdicts []Verdict) {
	pools := map[netip.AddrPort]catalog.PoolID{feedAddress: orderPool, depositAddress: orderPool, proofAddress: proofPool}
	for _, verdict := range verdicts {
		if verdict.Action == ActionForward {
			require.Equal(t, pools[verdict.Service], verdict.Target.Pool)
		}
	}
}

func requireCounts(t require.TestingT, e *Engine) {
	open, waiting, offers := make(map[*targetRecord]int), make(map[*targetRecord]int), make(map[*targetRecord]int)
	for _, f := range e.flows {
		if f.pending != nil {
			for _, r := range f.pending.tried {
				offers[r]++
			}
			continue
		}
		open[f.target]++
		if f.waiting {
			waiting[f.target]++
		}
	}
	total := 0
	for _, r := range e.targets.byID {
		total += r.waiting
		require.Equal(t, []int{open[r], waiting[r], offers[r]}, []int{r.openFlows, r.waiting, r.pendingSYNs}, r.name)
	}
	require.Equal(t, total, e.targets.totalLoad.waiting)
}

func benchmarkEstablished(b *testing.B, targets int) {
	var known []catalog.Target
	for number := range targets {
		known = append(known, orderTarget(number, "a"))
	}
	bed := newFixture(b, known...)
	c := bed.newClient(feedAddress)
	c.cookie = orderTarget(targets/2, "a").ID.Cookie()
	p := Packet{Client: c.address, Service: c.service, Cookie: c.cookie, Seq: 1, Ack: 1}
	route := bed.engine.view.Routes[feedAddress]
	b.Run("cookie", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if route.Target(p.Cookie) == nil {
				b.Fatal("no target")
			}
		}
	})
	b.Run("decision", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			bed.engine.HandlePacket(bed.now, &p)
		}
	})
}

func BenchmarkEstablished150(b *testing.B)   { benchmarkEstablished(b, 150) }
func BenchmarkEstablished27000(b *testing.B) { benchmarkEstablished(b, 27_000) }

func TestEstablishedPacketDoesNotAllocate(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	p := Packet{Client: c.address, Service: c.service, Cookie: c.cookie, Seq: c.seq, Ack: c.ack, Length: 100}
	require.Zero(t, testing.AllocsPerRun(1000, func() { b.engine.HandlePacket(b.now, &p) }))
}

// With 3,000 targets and one of them down, NextDeadline once looked at every target on
// each read of packets, which took a host 10.6 % of a core at 300 hosts.
func BenchmarkNextDeadlineWithDownTarget(b *testing.B) {
	var known []catalog.Target
	for number := range 3000 {
		known = append(known, orderTarget(number, "a"))
	}
	bed := newFixture(b, known...)
	r := bed.engine.targets.byID[orderTarget(7, "a").ID]
	bed.engine.targets.recordCheck(bed.now, r, CheckRefused)
	b.ReportAllocs()
	for b.Loop() {
		bed.engine.NextDeadline()
	}
}
