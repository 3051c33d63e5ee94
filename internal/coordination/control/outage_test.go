package control

import (
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/stretchr/testify/require"
)

// maxCatchUpTime is the time limit for a release to come into force on a host after
// acceptance or after the return of the host.
const maxCatchUpTime = 5 * time.Second

func TestExcludedDomainCatchesUpBeforeNewFlows(t *testing.T) {
	w := newRunningSimulation(t, 3, release.VariantCorrect, 3, 2, 2)
	lost := w.nodes[6].host.Domain
	w.network.blocked = isolate(lost)
	w.platform.unreachableFrom = []state.DomainID{lost}
	w.runFor(30 * time.Second)
	note := addTargetNote("second", 1)
	note.Without = []state.DomainID{lost}
	w.platform.submit(note)
	w.runFor(10 * time.Second)
	for _, n := range w.nodes {
		require.True(t, n.snapshot.Ready, n.host.ID)
		if n.host.Domain == lost {
			require.Equal(t, state.ReleaseVersion(1), n.snapshot.Version, n.host.ID)
		} else {
			require.Equal(t, state.ReleaseVersion(2), n.snapshot.Version, n.host.ID)
		}
	}
	w.network.blocked, w.platform.unreachableFrom = nil, nil
	sawCatchingUp := false
	w.onStep = func(*node) {
		for _, n := range w.nodes {
			if n.machine.release.KnownHead().Version > n.snapshot.Version {
				sawCatchingUp = true
				require.False(t, n.snapshot.Ready, n.host.ID)
			}
		}
	}
	require.True(t, w.runUntil(maxCatchUpTime, func() bool { return w.inForceEverywhere(2) }))
	require.True(t, sawCatchingUp, "no host was seen that knew of a release without having it in force")
	require.Empty(t, w.invariants.violations)
}

func TestReleaseReachesDomainWithoutPlatform(t *testing.T) {
	w := newRunningSimulation(t, 4, release.VariantCorrect, 3, 2, 2)
	w.platform.unreachableFrom = []state.DomainID{w.nodes[6].host.Domain}
	w.runFor(30 * time.Second)
	w.platform.submit(addTargetNote("second", 1))
	require.True(t, w.runUntil(10*time.Second, func() bool { return w.inForceEverywhere(2) }))
	require.Empty(t, w.invariants.violations)
}

func TestUnstagedNoteIsRefusedNamingTheDomain(t *testing.T) {
	w := newRunningSimulation(t, 5, release.VariantCorrect, 3, 2, 2)
	lost := w.nodes[6].host.Domain
	w.network.blocked = isolate(lost)
	w.platform.unreachableFrom = []state.DomainID{lost}
	w.platform.submit(addTargetNote("second", 1))
	w.runFor(15 * time.Second)
	head, _ := w.platform.head()
	decision, ok := head.Decision("second")
	require.True(t, ok)
	require.Equal(t, objects.NoteRefused, decision.State)
	require.Contains(t, decision.Reason, string(lost))
	require.True(t, w.inForceEverywhere(1))
	require.Empty(t, w.invariants.violations)
}

func TestHostStartingInOutageFetchesFromPeersOrWaits(t *testing.T) {
	w := newRunningSimulation(t, 6, release.VariantCorrect, 3, 2, 2)
	w.platform.down = true
	w.kill(w.nodes[0])
	w.runFor(5 * time.Second)
	w.boot(w.nodes[0])
	require.True(t, w.runUntil(maxCatchUpTime, func() bool { return w.inForceEverywhere(1) }))

	alone := newSimulation(6, release.VariantCorrect, 1)
	alone.platform.down = true
	alone.runFor(20 * time.Second)
	require.False(t, alone.nodes[0].snapshot.Ready)
	require.NotEmpty(t, alone.nodes[0].machine.Awaited(alone.now))
}

func TestResumedHostAppliesReleaseBeforeNewFlows(t *testing.T) {
	w := newRunningSimulation(t, 7, release.VariantCorrect, 3, 2, 2)
	paused := w.nodes[1]
	paused.paused = true
	w.runFor(20 * time.Second)
	w.platform.submit(addTargetNote("second", 1))
	w.runFor(10 * time.Second)
	paused.deferred = nil
	before := paused.snapshot
	w.onStep = func(n *node) {
		require.False(t, n == paused && n.snapshot.Ready && n.snapshot.Version < 2)
	}
	w.resume(paused)
	w.runFor(TickInterval)
	require.NotSame(t, before, paused.snapshot)
	require.True(t, w.runUntil(maxCatchUpTime, func() bool { return w.inForceEverywhere(2) }))
	require.Empty(t, w.invariants.violations)
}
