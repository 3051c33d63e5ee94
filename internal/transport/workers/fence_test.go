package workers

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
)

// A pause longer than release.PauseThreshold raises the fence, even before the next tick;
// only a confirmation that is newer than the pause lowers it.
func TestFenceIsRaisedAfterAPauseAndLoweredByNewerConfirmation(t *testing.T) {
	start := time.Unix(1000, 0)
	pause := release.PauseThreshold + time.Millisecond
	f := newFence(start)
	require.False(t, f.raised(start.Add(pause)), "before the first tick")
	f.tick(start)
	require.False(t, f.raised(start.Add(release.PauseThreshold)))
	woken := start.Add(pause)
	require.True(t, f.raised(woken), "before the late tick")
	f.tick(woken)
	require.True(t, f.raised(woken), "after the late tick")
	f.lower(start)
	require.True(t, f.raised(woken), "a confirmation from before the pause must not lower the fence")
	f.lower(woken.Add(1))
	require.False(t, f.raised(woken.Add(1)))
}

// After a pause the snapshot may be outdated: openings are dropped before the engine
// and other packets are withheld until Resume.
func TestPacketsAreWithheldAfterAPause(t *testing.T) {
	var pause atomic.Int64
	defer pause.Store(0)
	now := func() time.Time { return time.Now().Add(time.Duration(pause.Load())) }
	seen := make(chan struct{}, 1)
	var b *testPool
	b = newTestPoolWithClock(t, now, func(*traffic.Packet) traffic.Decision {
		seen <- struct{}{}
		return b.forward()
	})
	b.pool.fence.tick(now())
	pause.Store(int64(2 * release.PauseThreshold))
	send(b.fabricPeer, b.pool.settings.Fabric.Address(), opening(t, 39999))
	send(b.fabricPeer, b.pool.settings.Fabric.Address(), segment(t, 40000, false))
	<-seen
	b.pool.fence.tick(now())
	b.pool.Resume(now())
	send(b.fabricPeer, b.pool.settings.Fabric.Address(), opening(t, 40001))
	<-seen
	receive(t, b.fabricPeer, 1)
	require.Equal(t, int64(2), b.counter(t, "held_after_pause"), "the opening, which must not reach the engine, and the mid-flow packet")
	require.Equal(t, int64(1), b.engine.resumed.Load())
	require.Empty(t, seen)
	require.Equal(t, int64(1), b.counter(t, "forwarded"))
}
