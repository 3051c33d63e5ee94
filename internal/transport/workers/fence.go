package workers

import (
	"sync/atomic"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
)

// fence withholds packets from targets and callers after this process has been
// paused for longer than release.PauseThreshold: the snapshot may name targets whose
// address was assigned to another service during the pause. It is safe for
// concurrent use. Times are nanoseconds since base; 0 means never.
type fence struct {
	base time.Time
	// lastTick is the time of the last call of tick.
	lastTick atomic.Int64
	// raisedAt is the time at which tick raised the fence, or 0.
	raisedAt atomic.Int64
}

// newFence returns a fence that is not raised. The stored base is 1 ns earlier, so that
// base itself is not 0, which means never.
func newFence(base time.Time) *fence { return &fence{base: base.Add(-1)} }

func (f *fence) sinceBase(at time.Time) int64 { return int64(at.Sub(f.base)) }

// tickOverdue reports whether the last tick was more than release.PauseThreshold ago.
func (f *fence) tickOverdue(at int64) bool {
	last := f.lastTick.Load()
	return last != 0 && at-last > int64(release.PauseThreshold)
}

// tick must be called at intervals much shorter than release.PauseThreshold. A call
// after a longer gap raises the fence.
func (f *fence) tick(now time.Time) {
	at := f.sinceBase(now)
	if f.tickOverdue(at) {
		f.raisedAt.Store(at)
	}
	f.lastTick.Store(at)
}

// raised reports whether packets are withheld. Between the end of a pause and the
// next tick it compares the time since the last tick with release.PauseThreshold.
func (f *fence) raised(now time.Time) bool {
	return f.raisedAt.Load() != 0 || f.tickOverdue(f.sinceBase(now))
}

// lower lowers the fence if tick raised it before the given time.
func (f *fence) lower(at time.Time) {
	raisedAt := f.raisedAt.Load()
	if raisedAt != 0 && raisedAt < f.sinceBase(at) {
		f.raisedAt.CompareAndSwap(raisedAt, 0)
	}
}
