package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// largeSize has so many targets that each host sees each one only now and then.
var largeSize = simSize{domains: 3, hosts: 20, targets: 28, objective: 400 * time.Millisecond}

// largeKind is what the targets of a large deployment do: a full queue is worked off well
// within the objective.
var largeKind = targetKind{queue: 8, shedsOldest: true}

// slowThirdOfTargets makes a third of the targets of each domain six times slower.
func slowThirdOfTargets(s *simulation) {
	for number := range s.size.domains * s.size.targets {
		if number/s.size.domains%3 == 0 {
			s.targets[orderTarget(number+1, "a").ID].slow = 6
		}
	}
}

// moveCallers has more callers come to the second domain than to the others.
func moveCallers(s *simulation) {
	s.callerDomain = func() int {
		if s.random.IntN(2) == 0 {
			return 1
		}
		return s.random.IntN(s.size.domains)
	}
}

// playLarge plays requests on flows of their own in a large deployment, a load of 0.15 of
// the capacity until the burst, then the given one.
func playLarge(t *testing.T, load float64, prepare func(*simulation)) *simulation {
	s := newSimulation(t, largeSize, largeKind)
	const usualLoad = 0.15
	ask := func() {
		if s.random.IntN(5) == 0 {
			s.ask(depositAddress)
			return
		}
		s.ask(feedAddress)
	}
	s.arrivals(usualLoad*largeSize.capacity(), simBurstEnd, ask)
	s.runUntil(simBurstStart)
	prepare(s)
	s.arrivals((load-usualLoad)*largeSize.capacity(), simBurstEnd, ask)
	s.runUntil(simBurstEnd + time.Second)
	return s
}

// unevenLoad is a load, as a fraction of the usual capacity, that the targets can work when
// a third of them are six times slower: two thirds and an eighteenth are left.
const unevenLoad = 0.45

// A third of the targets turn slow while half of all callers come to one domain. There are
// slots for all: nobody is refused, and only what was sent to slow targets before the hosts
// knew comes late.
func TestUnevenLoadIsServedWithoutRefusals(t *testing.T) {
	s := playLarge(t, unevenLoad, func(s *simulation) {
		slowThirdOfTargets(s)
		moveCallers(s)
	})
	t.Logf("%+v, %d SYNs refused", s.outcomes, s.refusals)
	require.Zero(t, s.refusals)
	require.GreaterOrEqual(t, s.outcomes.share(), 0.98)
}

// Callers who move to one domain are served by the targets of the others.
func TestDomainWithMoreCallersSpillsOver(t *testing.T) {
	s := playLarge(t, 0.6, moveCallers)
	t.Logf("%+v, %d SYNs refused", s.outcomes, s.refusals)
	require.Zero(t, s.refusals)
	require.GreaterOrEqual(t, s.outcomes.share(), 0.99)
}

// After the targets have recovered they get as many flows as the others again.
func TestRecoveredTargetsAreUsedAgain(t *testing.T) {
	s := playLarge(t, unevenLoad, slowThirdOfTargets)
	for _, target := range s.targets {
		target.slow = 1
	}
	s.runUntil(s.now + 8*time.Second)
	for _, target := range s.targets {
		target.arrived = 0
	}
	s.arrivals(0.3*largeSize.capacity(), s.now+4*time.Second, func() { s.ask(feedAddress) })
	s.runUntil(s.now + 5*time.Second)
	least, total := 1<<30, 0
	for _, target := range s.targets {
		least = min(least, target.arrived)
		total += target.arrived
	}
	require.GreaterOrEqual(t, float64(least), 0.7*float64(total)/float64(len(s.targets)))
}

// Equal targets take turns, so that they get the same share of the requests. By the stated
// target the busiest gets 1.08 times the mean.
func TestEvenLoadIsSpreadEvenly(t *testing.T) {
	s := playLarge(t, 0.5, unchanged)
	busiest, total := 0, 0
	for _, target := range s.targets {
		busiest = max(busiest, target.arrived)
		total += target.arrived
	}
	require.Zero(t, s.refusals)
	require.LessOrEqual(t, float64(busiest)/(float64(total)/float64(len(s.targets))), 1.08)
}

// More requests come than the targets have slots for: what is served is served in aim, the
// more important requests first.
func TestImportantRequestsGoFirstInAnOverload(t *testing.T) {
	for _, load := range []float64{1.3, 2, 4} {
		s := playLarge(t, load, unchanged)
		seconds := (simBurstEnd - simCountedFrom).Seconds()
		served := float64(s.outcomes.inAim) / seconds / largeSize.capacity()
		t.Logf("load %.1f: %.2f of the capacity in aim, %+v, important %+v, %d SYNs refused", load, served, s.outcomes, s.important, s.refusals)
		assert.GreaterOrEqual(t, served, 0.85, "load %.1f", load)
		assert.GreaterOrEqual(t, s.important.share(), s.outcomes.share()+0.05, "load %.1f", load)
	}
}

// One caller sends twenty times as many requests as each other one, and there are too few
// slots for all. The others are served as if it sent no more than they do.
func TestFloodOfOneCallerIsNotServedAtTheCostOfOthers(t *testing.T) {
	const callers = 30
	flooder := netip.MustParseAddr("100.64.9.9")
	s := newSimulation(t, largeSize, largeKind)
	perCaller := 0.9 * largeSize.capacity() / callers
	next := 0
	s.arrivals(0.9*largeSize.capacity(), simBurstEnd, func() {
		next++
		s.askAs(netip.AddrFrom4([4]byte{100, 64, 1, byte(next % callers)}), feedAddress)
	})
	s.runUntil(simBurstStart)
	s.arrivals(20*perCaller, simBurstEnd, func() { s.askAs(flooder, feedAddress) })
	s.runUntil(simBurstEnd + time.Second)
	flood := s.byCaller[flooder]
	delete(s.byCaller, flooder)
	least, asked, inAim := 1.0, 0, 0
	for _, outcomes := range s.byCaller {
		least = min(least, outcomes.share())
		asked += outcomes.asked
		inAim += outcomes.inAim
	}
	mean := float64(inAim) / float64(asked)
	t.Logf("flooding caller %.2f, others %.2f in the mean, least %.2f, %d SYNs refused", flood.share(), mean, least, s.refusals)
	require.GreaterOrEqual(t, least, 0.9*mean)
	require.Greater(t, mean, flood.share())
}
