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
	// lastTick is the time of the last pulse.
	lastTick atomic.Int64
	// raisedAt is when the fence was put up.
	raisedAt atomic.Int64
}

func newFence(base time.Time) *fence { return &fence{base: base.Add(-1)} }

func (f *fence) sinceBase(at time.Time) int64 { return int64(at.Sub(f.base)) }

// tickOverdue tells that the last pulse is too long ago.
func (f *fence) tickOverdue(at int64) bool {
	beat := f.lastTick.Load()
	return beat != 0 && at-beat > int64(release.PauseAfter)
}

// tick has to be called much more often than release.PauseAfter. A late call
// puts the fence up.
func (f *fence) tick(now time.Time) {
	at := f.sinceBase(now)
	if f.tickOverdue(at) {
		f.raisedAt.Store(at)
	}
	f.lastTick.Store(at)
}

// raised tells whether packets are held back. While no pulse has come since a
// pause, its length alone decides.
func (f *fence) raised(now time.Time) bool {
	return f.raisedAt.Load() != 0 || f.tickOverdue(f.sinceBase(now))
}

// lower takes the fence down if it was up before the given time.
func (f *fence) lower(at time.Time) {
	since := f.raisedAt.Load()
	if since != 0 && since < f.sinceBase(at) {
		f.raisedAt.CompareAndSwap(since, 0)
	}
}
