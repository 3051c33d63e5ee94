package workers

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
)

func TestFence(t *testing.T) {
	start := time.Unix(1000, 0)
	pause := release.PauseThreshold + time.Millisecond
	f := newFence(start)
	require.False(t, f.up(start.Add(pause)), "no pulse yet")
	f.pulse(start)
	require.False(t, f.up(start.Add(release.PauseThreshold)))
	woken := start.Add(pause)
	require.True(t, f.up(woken), "before the late pulse")
	f.pulse(woken)
	require.True(t, f.up(woken), "after the late pulse")
	f.lift(start)
	require.True(t, f.up(woken), "a word from before the pause does not count")
	f.lift(woken.Add(1))
	require.False(t, f.up(woken.Add(1)))
}

func TestPacketsAreHeldBackAfterAPause(t *testing.T) {
	var pause atomic.Int64
	defer pause.Store(0)
	now := func() time.Time { return time.Now().Add(time.Duration(pause.Load())) }
	seen := make(chan struct{}, 1)
	var b *bench
	b = newBenchAt(t, now, func(*traffic.Packet) traffic.Decision {
		seen <- struct{}{}
		return b.forward()
	})
	b.pool.fence.pulse(now())
	pause.Store(int64(2 * release.PauseThreshold))
	send(b.outside, b.pool.settings.Fabric.Address(), opening(t, 39999))
	send(b.outside, b.pool.settings.Fabric.Address(), segment(t, 40000, false))
	<-seen
	b.pool.fence.pulse(now())
	b.pool.Resume(now())
	send(b.outside, b.pool.settings.Fabric.Address(), opening(t, 40001))
	<-seen
	receive(t, b.outside, 1)
	require.Equal(t, int64(2), b.counter(t, "held_after_pause"), "an opening that the engine did not see, too")
	require.Equal(t, int64(1), b.engine.resumed.Load())
	require.Empty(t, seen)
	require.Equal(t, int64(1), b.counter(t, "forwarded"))
}
