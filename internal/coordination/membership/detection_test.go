package membership

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
)

// maxDetectionTime is the time within which a killed host must be removed from every
// view at the deployed sizes. Packets for it are lost until then.
const maxDetectionTime = 5 * time.Second

// measureDetection kills one host and returns the times until the first and the last
// running host removed it from their views.
func measureDetection(t *testing.T, seed uint64, victim state.HostID, sizes ...int) (first, last time.Duration) {
	l := newLink(t, seed)
	l.domains(sizes...)
	_, ok := l.runUntil(time.Minute, l.allJoined)
	require.True(t, ok)
	l.run(5*time.Second + time.Duration(seed)*17*time.Millisecond)
	l.node(victim).killed = true
	first, ok = l.runUntil(time.Minute, func() bool {
		return slices.ContainsFunc(l.nodes, func(n *node) bool {
			return !n.killed && l.viewStatus(n.host.ID, victim) == state.HostDead
		})
	})
	require.True(t, ok)
	rest, ok := l.runUntil(time.Minute, func() bool { return l.allSee(victim, state.HostDead) })
	require.True(t, ok)
	return first, first + rest
}

// TestKilledHostDetectionTime checks at the deployed sizes, and logs at larger ones, how
// long it takes until a killed host is removed from every view.
func TestKilledHostDetectionTime(t *testing.T) {
	cases := []struct {
		name     string
		victim   state.HostID
		runs     uint64
		enforced bool
		sizes    []int
	}{
		{"seven hosts in three domains, one of three", "host-1-000", 100, true, []int{3, 2, 2}},
		{"seven hosts in four domains, one of two", "host-1-000", 100, true, []int{2, 2, 2, 1}},
		{"seven hosts in four domains, the only one", "host-4-000", 100, true, []int{2, 2, 2, 1}},
		{"thirty hosts in one domain", "host-1-000", 20, false, []int{30}},
		{"a hundred hosts in one domain", "host-1-000", 5, false, []int{100}},
	}
	for _, c := range cases {
		var firsts, lasts []time.Duration
		for seed := range c.runs {
			first, last := measureDetection(t, seed, c.victim, c.sizes...)
			firsts = append(firsts, first)
			lasts = append(lasts, last)
		}
		slices.Sort(firsts)
		slices.Sort(lasts)
		n := len(lasts)
		t.Logf("%s, %d seeds: first view median %v; every view median %v, 95%% %v, worst %v",
			c.name, n, firsts[n/2], lasts[n/2], lasts[n*95/100], lasts[n-1])
		if c.enforced {
			require.LessOrEqual(t, lasts[n-1], maxDetectionTime, c.name)
		}
	}
}

// lossSeeds is the number of runs per loss rate and layout, each with seven hosts.
const lossSeeds = 3

var lossDuration = flag.Duration("loss-time", 10*time.Minute, "virtual time of each run under loss")

// TestNoFalseDeathsUnderPacketLoss checks that no running host is marked dead while 0.5 %
// or 5 % of all messages are lost.
func TestNoFalseDeathsUnderPacketLoss(t *testing.T) {
	for _, loss := range []float64{0.005, 0.05} {
		for _, sizes := range [][]int{{3, 2, 2}, {2, 2, 2, 1}, {7}} {
			t.Run(fmt.Sprint(loss, sizes), func(t *testing.T) {
				t.Parallel()
				runUnderLoss(t, loss, sizes)
			})
		}
	}
}

func runUnderLoss(t *testing.T, loss float64, sizes []int) {
	deaths, suspicions := 0, 0
	for seed := range uint64(lossSeeds) {
		l := newLink(t, seed)
		l.domains(sizes...)
		_, ok := l.runUntil(time.Minute, l.allJoined)
		require.True(t, ok)
		l.loss = loss
		l.startCounting()
		l.run(*lossDuration)
		deaths += l.falseDeaths
		suspicions += l.falseSuspicions
	}
	t.Logf("%.0f host hours, %d false suspicions, %d false deaths",
		7*lossSeeds*lossDuration.Hours(), suspicions, deaths)
	require.Zero(t, deaths)
}

// TestDuplicatedAndReorderedMessagesCauseNoFalseDeaths checks that no running host is
// marked dead while messages are duplicated and delayed by up to 150 ms, and that a
// killed host is still detected.
func TestDuplicatedAndReorderedMessagesCauseNoFalseDeaths(t *testing.T) {
	forEachSeed(t, func(t *testing.T, l *link) {
		l.duplication = 0.3
		l.jitter = 150 * time.Millisecond
		l.startCounting()
		l.run(10 * time.Minute)
		require.Zero(t, l.falseDeaths)
		l.node("host-1-000").killed = true
		_, ok := l.runUntil(30*time.Second, func() bool { return l.allSee("host-1-000", state.HostDead) })
		require.True(t, ok)
	})
}
