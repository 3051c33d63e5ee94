package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/stretchr/testify/require"
)

// maxDrainDelay is the time after which no host may give a draining target new flows.
const maxDrainDelay = 3 * time.Second

// putLoads writes the load list of feed-1 and feed-2 to the platform.
func putLoads(w *simulation, draining bool, load float64) {
	list := objects.LoadList{Loads: []objects.TargetLoad{
		{Target: "feed-1", Healthy: true, Draining: draining, Load: load, At: w.now},
		{Target: "feed-2", Healthy: true, Load: load, At: w.now},
	}}
	w.platform.put(objects.KeyLoads, w.platform.objects[objects.KeyLoads].Version, mustEncode(list))
}

// seesLeaving reports whether feed-1 is leaving in the host's snapshot.
func seesLeaving(n *node) bool {
	for _, target := range n.snapshot.Targets {
		if target.ID == "feed-1" {
			return target.Leaving
		}
	}
	return false
}

// leavingEverywhere reports whether feed-1 is leaving, or not leaving, in the
// snapshots of all live hosts.
func leavingEverywhere(w *simulation, leaving bool) bool {
	for _, n := range w.nodes {
		if n.alive && seesLeaving(n) != leaving {
			return false
		}
	}
	return true
}

func TestDrainSignalReachesEveryHost(t *testing.T) {
	for _, sizes := range [][]int{{3, 2, 2}, {2, 2, 2, 1}, {30}} {
		t.Run(fmt.Sprint(sizes), func(t *testing.T) {
			w := newRunningSimulation(t, 21, release.VariantCorrect, sizes...)
			slowest := time.Duration(0)
			for round := range 10 {
				for range 3 {
					putLoads(w, round%2 == 1, 0.5)
					w.runFor(time.Second)
				}
				start := w.now
				putLoads(w, round%2 == 0, 0.5)
				require.True(t, w.runUntil(maxDrainDelay, func() bool { return leavingEverywhere(w, round%2 == 0) }), "round %d", round)
				slowest = max(slowest, w.now.Sub(start))
			}
			t.Logf("slowest of 10 drain signals: %s", slowest)
			require.Empty(t, w.invariants.violations)
		})
	}
}

func TestDrainSignalReachesDomainWithoutPlatform(t *testing.T) {
	w := newRunningSimulation(t, 24, release.VariantCorrect, 3, 2, 2)
	putLoads(w, false, 0.5)
	w.platform.unreachableFrom = []state.DomainID{w.nodes[6].host.Domain}
	w.runFor(30 * time.Second)
	putLoads(w, true, 0.5)
	require.True(t, w.runUntil(maxDrainDelay, func() bool { return leavingEverywhere(w, true) }))
}

func TestTargetMarkedLeavingByNoteStaysLeaving(t *testing.T) {
	w := newRunningSimulation(t, 22, release.VariantCorrect, 2, 1)
	note := addTargetNote("second", 1)
	leaving := true
	note.ChangeTargets = append(note.ChangeTargets, targetChange("feed-1", &leaving))
	w.platform.submit(note)
	require.True(t, w.runUntil(maxCatchUpTime, func() bool { return w.inForceEverywhere(2) }))
	putLoads(w, false, 0.1)
	w.runFor(10 * time.Second)
	require.True(t, leavingEverywhere(w, true))
}

func TestFailingTargetIsEjected(t *testing.T) {
	w := newRunningSimulation(t, 23, release.VariantCorrect, 2, 1, 1)
	n := w.nodes[0]
	targets := n.machine.Release().Services[0].Targets
	for range 10 {
		var report TrafficReported
		for index, target := range targets {
			counts := TargetReport{Number: target.Number, Openings: 50, Completed: 50}
			if index == 0 {
				counts.Completed = 0
			}
			report.Targets = append(report.Targets, counts)
		}
		w.deliver(n, n.run, report)
		w.runFor(time.Second)
	}
	require.True(t, n.snapshot.Targets[targets[0].Number].Ejected)
	require.False(t, n.snapshot.Targets[targets[1].Number].Ejected)
}
