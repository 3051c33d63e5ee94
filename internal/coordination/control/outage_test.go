package control

import (
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/stretchr/testify/require"
)

// catchUp is how soon a release must be in force after acceptance or return.
const catchUp = 5 * time.Second

func TestDomainLeftOutServesOnAndCatchesUpBeforeNewFlows(t *testing.T) {
	w := settled(t, 3, release.VariantCorrect, 3, 2, 2)
	lost := w.nodes[6].host.Domain
	w.link.cut = cutOff(lost)
	w.store.cut = []state.DomainID{lost}
	w.run(30 * time.Second)
	note := nextNote("second", 1)
	note.Without = []state.DomainID{lost}
	w.store.submit(note)
	w.run(10 * time.Second)
	for _, n := range w.nodes {
		require.True(t, n.snapshot.Ready, n.host.ID)
		if n.host.Domain == lost {
			require.Equal(t, state.ReleaseVersion(1), n.snapshot.Version, n.host.ID)
		} else {
			require.Equal(t, state.ReleaseVersion(2), n.snapshot.Version, n.host.ID)
		}
	}
	w.link.cut, w.store.cut = nil, nil
	heldBack := false
	w.onStep = func(*node) {
		for _, n := range w.nodes {
			if n.core.release.KnownHead().Version > n.snapshot.Version {
				heldBack = true
				require.False(t, n.snapshot.Ready, n.host.ID)
			}
		}
	}
	require.True(t, w.until(catchUp, func() bool { return w.inForce(2) }))
	require.True(t, heldBack, "the gap between hearing of a release and holding it was seen")
	require.Empty(t, w.promises.broken)
}

func TestReleaseReachesADomainThatLostOnlyThePlatform(t *testing.T) {
	w := settled(t, 4, release.VariantCorrect, 3, 2, 2)
	w.store.cut = []state.DomainID{w.nodes[6].host.Domain}
	w.run(30 * time.Second)
	w.store.submit(nextNote("second", 1))
	require.True(t, w.until(10*time.Second, func() bool { return w.inForce(2) }))
	require.Empty(t, w.promises.broken)
}

func TestUnstagedNoteIsRefusedWithTheDomainNamed(t *testing.T) {
	w := settled(t, 5, release.VariantCorrect, 3, 2, 2)
	lost := w.nodes[6].host.Domain
	w.link.cut = cutOff(lost)
	w.store.cut = []state.DomainID{lost}
	w.store.submit(nextNote("second", 1))
	w.run(15 * time.Second)
	head, _ := w.store.head()
	decision, ok := head.Decision("second")
	require.True(t, ok)
	require.Equal(t, objects.NoteRefused, decision.State)
	require.Contains(t, decision.Reason, string(lost))
	require.True(t, w.inForce(1))
	require.Empty(t, w.promises.broken)
}

func TestHostStartingInAnOutageAsksPeersOrWaits(t *testing.T) {
	w := settled(t, 6, release.VariantCorrect, 3, 2, 2)
	w.store.down = true
	w.kill(w.nodes[0])
	w.run(5 * time.Second)
	w.boot(w.nodes[0])
	require.True(t, w.until(catchUp, func() bool { return w.inForce(1) }))

	alone := newWorld(6, release.VariantCorrect, 1)
	alone.store.down = true
	alone.run(20 * time.Second)
	require.False(t, alone.nodes[0].snapshot.Ready)
	require.NotEmpty(t, alone.nodes[0].core.Awaited(alone.now))
}

func TestPausedHostTakesTheCurrentReleaseBeforeNewFlows(t *testing.T) {
	w := settled(t, 7, release.VariantCorrect, 3, 2, 2)
	paused := w.nodes[1]
	paused.paused = true
	w.run(20 * time.Second)
	w.store.submit(nextNote("second", 1))
	w.run(10 * time.Second)
	paused.queue = nil
	before := paused.snapshot
	w.onStep = func(n *node) {
		require.False(t, n == paused && n.snapshot.Ready && n.snapshot.Version < 2)
	}
	w.resume(paused)
	w.run(TickInterval)
	require.NotSame(t, before, paused.snapshot)
	require.True(t, w.until(catchUp, func() bool { return w.inForce(2) }))
	require.Empty(t, w.promises.broken)
}
