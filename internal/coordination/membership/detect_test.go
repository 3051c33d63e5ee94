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

// maxDetectionTime is the time in which a killed host must have left every view at
// today's sizes; packets for it are lost until then.
const maxDetectionTime = 5 * time.Second

// measureDetection kills one host and returns when the first and the last running host
// dropped it.
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

func TestKilledHostDetectionTime(t *testing.T) {
	cases := []struct {
		name   string
		victim state.HostID
		runs   uint64
		today  bool
		sizes  []int
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
		if c.today {
			require.LessOrEqual(t, lasts[n-1], maxDetectionTime, c.name)
		}
	}
}

// lossSeeds is the number of seeds, each with seven hosts.
const lossSeeds = 3

var lossDuration = flag.Duration("loss-time", 10*time.Minute, "virtual time of each run under loss")

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
	t.Logf("%.0f host hours, %d suspicions, %d wrong verdicts of death",
		7*lossSeeds*lossDuration.Hours(), suspicions, deaths)
	require.Zero(t, deaths)
}

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
