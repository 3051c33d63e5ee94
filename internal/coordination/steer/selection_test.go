package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/coordination/slowstart"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

func TestFlowsStayInLocalFailureDomainWithCapacity(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"), orderTarget(3, "b"))
	for range 6 {
		require.Equal(t, state.DomainID("a"), f.newClient(feedAddress).establish().Domain)
	}
}

func TestBusyFailureDomainSpillsOver(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "b"))
	flowsAt := make(map[string]int)
	for range 12 {
		c := f.newClient(depositAddress)
		flowsAt[c.establish().Name]++
		c.sendRequest()
	}
	require.Greater(t, flowsAt["t2"], 3, "waiting requests raise the cost of the local target")
	require.Greater(t, flowsAt["t1"], flowsAt["t2"])
}

func TestWarmingUpTargetIsAvoided(t *testing.T) {
	warming := orderTarget(2, "a")
	warming.WarmUp = 2 * time.Second
	f := newFixture(t, orderTarget(1, "a"), warming)
	require.Equal(t, "t1", f.newClient(feedAddress).establish().Name)
	f.now += 3 * time.Second
	f.establishAt(feedAddress, "t2")
}

// The load is 300 long flows at 14 targets of one failure domain, with a short deposit
// flow after each, which stands for every third request.
func TestLongFlowsAreSpreadEvenly(t *testing.T) {
	var targets []catalog.Target
	for number := range 14 {
		targets = append(targets, orderTarget(number, "a"))
	}
	f := newFixture(t, targets...)
	counts := make(map[string]int)
	for range 300 {
		counts[f.newClient(feedAddress).establish().Name]++
		deposit := f.newClient(depositAddress)
		deposit.establish()
		deposit.sendRequest()
		f.now += 20 * time.Millisecond
		deposit.ackAnswer()
		deposit.send(Packet{Seq: deposit.seq, Ack: deposit.ack, FIN: true})
	}
	for name, count := range counts {
		require.LessOrEqual(t, float64(count), 1.10*300/14, name)
	}
}

func TestPoolsGetFlowsByWeight(t *testing.T) {
	f := newEmptyFixture(t)
	f.directory.SetConfig(catalog.Config{Version: 1, Routes: []catalog.Route{{
		Address: feedAddress,
		Pools:   []catalog.PoolWeight{{Pool: orderPool, Weight: 90}, {Pool: proofPool, Weight: 10}},
	}}})
	f.directory.Put(0, orderTarget(1, "a"))
	f.directory.Put(0, newTarget(2, "a", proofPool))
	f.publish()
	proofFlows := 0
	for range 1000 {
		if f.newClient(feedAddress).sendSYN().Target.Pool == proofPool {
			proofFlows++
		}
	}
	require.InDelta(t, 100, proofFlows, 40)
}

// For any sequence of packets, none is forwarded to a target that its route does not
// lead to, and the load counts match the tracked flows.
func TestNoPacketReachesAnotherService(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "b"), newTarget(3, "a", proofPool), newTarget(4, "b", proofPool))
		addresses := []netip.AddrPort{feedAddress, depositAddress, proofAddress, unroutedAddress}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			f.now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond
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
			verdicts := f.engine.HandleDeadlines(f.now, []Verdict{f.engine.HandlePacket(f.now, &p)})
			verdicts[0].Service = p.Service
			f.runChecks(func(catalog.TargetID) bool { return rapid.Bool().Draw(rt, "alive") })
			requireOwnService(rt, verdicts)
		}
		requireCounts(rt, f.engine)
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
	open, waiting, syns := make(map[*targetRecord]int), make(map[*targetRecord]int), make(map[*targetRecord]int)
	for _, f := range e.flows {
		if f.pending != nil {
			for _, r := range f.pending.tried {
				syns[r]++
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
		require.Equal(t, []int{open[r], waiting[r], syns[r]}, []int{r.openFlows, r.waiting, r.pendingSYNs}, r.name)
	}
	require.Equal(t, total, e.targets.totalLoad.waiting)
}

func benchmarkEstablished(b *testing.B, targets int) {
	var known []catalog.Target
	for number := range targets {
		known = append(known, orderTarget(number, "a"))
	}
	f := newFixture(b, known...)
	c := f.newClient(feedAddress)
	c.cookie = orderTarget(targets/2, "a").ID.Cookie()
	p := Packet{Client: c.address, Service: c.service, Cookie: c.cookie, Seq: 1, Ack: 1}
	route := f.engine.view.Routes[feedAddress]
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
			f.engine.HandlePacket(f.now, &p)
		}
	})
}

func BenchmarkEstablished150(b *testing.B)   { benchmarkEstablished(b, 150) }
func BenchmarkEstablished27000(b *testing.B) { benchmarkEstablished(b, 27_000) }

func TestEstablishedPacketDoesNotAllocate(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := f.establishAt(feedAddress, "t1")
	p := Packet{Client: c.address, Service: c.service, Cookie: c.cookie, Seq: c.seq, Ack: c.ack, Length: 100}
	require.Zero(t, testing.AllocsPerRun(1000, func() { f.engine.HandlePacket(f.now, &p) }))
}

// With 3,000 targets and one of them down, NextDeadline once looked at every target on
// each read of packets, which took a host 10.6 % of a core at 300 hosts.
func BenchmarkNextDeadlineWithDownTarget(b *testing.B) {
	var known []catalog.Target
	for number := range 3000 {
		known = append(known, orderTarget(number, "a"))
	}
	f := newFixture(b, known...)
	r := f.engine.targets.byID[orderTarget(7, "a").ID]
	f.engine.targets.recordCheck(f.now, r, CheckRefused)
	b.ReportAllocs()
	for b.Loop() {
		f.engine.NextDeadline()
	}
}

// newSlowStartFixture returns a fixture with a target in its slow start and one that is not.
func newSlowStartFixture(t *testing.T, length time.Duration) *fixture {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	config := catalog.Config{Version: 2, SlowStarts: map[catalog.PoolID]catalog.SlowStart{orderPool: {Length: length, PerSecond: 4}}, Routes: []catalog.Route{
		{Name: "feed", Address: feedAddress, Pools: []catalog.PoolWeight{{Pool: orderPool, Weight: 1}}, Idempotent: true},
	}}
	f.directory.SetConfig(config)
	started := orderTarget(2, "a")
	started.WarmUp = 2 * time.Second
	f.directory.Put(f.now, started)
	f.publish()
	return f
}

func TestTargetInItsSlowStartIsLeftToFlowsThatNoOtherCanTake(t *testing.T) {
	f := newSlowStartFixture(t, 2*time.Second)
	for range 50 {
		c := f.newClient(feedAddress)
		require.Equal(t, "t1", c.establish().Name)
		c.sendRequest()
	}
	f.directory.Remove(f.now, "t1")
	f.publish()
	require.Equal(t, "t2", f.newClient(feedAddress).establish().Name)
}

func TestSlowStartEnds(t *testing.T) {
	f := newSlowStartFixture(t, 2*time.Second)
	f.now += 2 * time.Second
	f.establishAt(feedAddress, "t2")
}

// A target that was down may have started again before its entry tells.
func TestTargetThatWasDownIsInItsSlowStart(t *testing.T) {
	f := newSlowStartFixture(t, 2*time.Second)
	f.now += 10 * time.Second
	f.establishAt(feedAddress, "t2")
	f.engine.RecordCheck(f.now, f.suspect("t2"), CheckTimedOut)
	f.now += checkInterval
	f.engine.RecordCheck(f.now, f.suspect("t2"), CheckPassed)
	for range 50 {
		require.Equal(t, "t1", f.newClient(feedAddress).establish().Name)
	}
	f.now += 2 * time.Second
	f.establishAt(feedAddress, "t2")
}

// Without a limit in the configuration a target that is warming up only costs more.
func TestWithoutSlowStartsWarmingTargetsAreUsed(t *testing.T) {
	f := newSlowStartFixture(t, 0)
	for range 10 {
		c := f.newClient(feedAddress)
		c.establish()
		c.sendRequest()
	}
	f.establishAt(feedAddress, "t2")
}

// newShareFixture returns a fixture whose only targets are in their slow start, at a host
// that shares them out with others.
func newShareFixture(t *testing.T, hosts ...netip.AddrPort) *fixture {
	f := newSlowStartFixture(t, 20*time.Second)
	for number := range 2 {
		started := orderTarget(number+1, "a")
		started.WarmUp = 20 * time.Second
		f.directory.Put(f.now, started)
	}
	f.publish()
	f.now += time.Second
	f.engine.ShareSlowStarts(slowstart.New(shareHost, slowstart.Bound{Overage: 1.5, Slack: 5}))
	f.engine.SetDomainHosts(hosts)
	return f
}

// shareHost is the host of these tests, otherHost another one of its domain.
var (
	shareHost = netip.MustParseAddrPort("10.1.0.10:8166")
	otherHost = netip.MustParseAddrPort("10.1.0.11:8166")
)

// placedInASecond returns how many of many SYNs within a second were forwarded.
func (f *fixture) placedInASecond() (placed int) {
	for range 100 {
		verdict := f.newClient(feedAddress).sendSYN()
		if verdict.Action == ActionForward {
			placed++
		} else {
			require.Equal(f.t, ReasonSlowStart, verdict.Reason)
			require.Equal(f.t, ActionReset, verdict.Action)
		}
		f.now += 10 * time.Millisecond
	}
	return placed
}

func TestShareOfASlowStartIsKept(t *testing.T) {
	f := newShareFixture(t, shareHost)
	const targets, perSecond = 2, 4
	placed := f.placedInASecond()
	require.LessOrEqual(t, placed, targets*(perSecond*3/4+2))
	require.GreaterOrEqual(t, placed, targets*perSecond*7/10)
}

// Guards against all hosts sending what they have to targets that come back cold (review case
// 3): a target that is down may have started again before a check or its entry tells.
func TestTargetsThatAreDownGetOnlyTheirShares(t *testing.T) {
	f := newShareFixture(t, shareHost)
	f.now += 30 * time.Second
	for _, name := range []string{"t1", "t2"} {
		f.establishAt(feedAddress, name)
		f.engine.RecordCheck(f.now, f.suspect(name), CheckTimedOut)
	}
	const targets, perSecond = 2, 4
	placed := f.placedInASecond()
	require.LessOrEqual(t, placed, targets*(perSecond*3/4+2))
	require.Positive(t, placed, "a wrong suspicion must not refuse every flow")
}

func TestHostWithoutAShareRefuses(t *testing.T) {
	require.Zero(t, newShareFixture(t).placedInASecond(), "no list is known")
	require.Zero(t, newShareFixture(t, otherHost).placedInASecond())
}

// Copies of a SYN count, too: the bound is about what arrives at the target.
func TestRetriesCountInTheShare(t *testing.T) {
	f := newShareFixture(t, shareHost)
	forwarded := 0
	for range 5 {
		if f.newClient(feedAddress).sendSYN().Action == ActionForward {
			forwarded++
		}
	}
	for range 10 {
		for _, verdict := range f.advance(maxAttemptTimeout) {
			if verdict.Action == ActionForward {
				forwarded++
			}
		}
	}
	require.LessOrEqual(t, forwarded, 2*(4*3/4+2))
}
