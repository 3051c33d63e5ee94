package workers

import (
	"sync/atomic"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
)

// fence holds packets back from targets and callers after this process stood
// still for longer than release.PauseAfter: the snapshot may name targets whose
// address has passed to another service meanwhile. It is safe for concurrent
// use. Times are nanoseconds since base; 0 is never.
type fence struct {
	base time.Time
	// beat is the time of the last pulse.
	beat atomic.Int64
	// since is when the fence was put up.
	since atomic.Int64
}

func newFence(base time.Time) *fence { return &fence{base: base.Add(-1)} }

func (f *fence) nanos(at time.Time) int64 { return int64(at.Sub(f.base)) }

// late tells that the last pulse is too long ago.
func (f *fence) late(at int64) bool {
	beat := f.beat.Load()
	return beat != 0 && at-beat > int64(release.PauseThreshold)
}

// pulse has to be called much more often than release.PauseAfter. A late call
// puts the fence up.
func (f *fence) pulse(now time.Time) {
	at := f.nanos(now)
	if f.late(at) {
		f.since.Store(at)
	}
	f.beat.Store(at)
}

// up tells whether packets are held back. While no pulse has come since a
// pause, its length alone decides.
func (f *fence) up(now time.Time) bool {
	return f.since.Load() != 0 || f.late(f.nanos(now))
}

// lift takes the fence down if it was up before the given time.
func (f *fence) lift(at time.Time) {
	since := f.since.Load()
	if since != 0 && since < f.nanos(at) {
		f.since.CompareAndSwap(since, 0)
	}
}
