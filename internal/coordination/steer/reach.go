package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Detection of a host that can reach no target that it may use. The load that it answers:
// the operator drains the host's own failure domain, and a network partition separates that
// domain from the others. Its callers are served only if the fabric sends their packets to
// hosts of other domains.
const (
	// unreachableAfter is the time without an answer after which the targets of a pool count
	// as out of reach, if at least minUnanswered SYNs went unanswered meanwhile.
	unreachableAfter = time.Second
	minUnanswered    = 3
	// probeInterval is the time between two SYNs that are forwarded to a pool out of reach.
	probeInterval = 200 * time.Millisecond
)

// reach is what a host knows of its path to the targets of a pool that take new flows.
type reach struct {
	lastAnswer time.Duration
	// unanswered is the number of SYNs without an answer since lastAnswer.
	unanswered int
	lastProbe  time.Duration
}

// lost reports whether the targets are out of reach.
func (r *reach) lost(now time.Duration) bool {
	return r.unanswered >= minUnanswered && now-r.lastAnswer >= unreachableAfter
}

// reaches holds the reach of each pool.
type reaches map[catalog.PoolID]*reach

// of returns the reach of a pool.
func (r reaches) of(pool catalog.PoolID) *reach {
	state := r[pool]
	if state == nil {
		state = new(reach)
		r[pool] = state
	}
	return state
}

// recordReached records an answer of a target. Those of drained domains don't count: they
// may be on this side of a partition.
func (t *targetTable) recordReached(now time.Duration, r *targetRecord) {
	if t.drained[r.domain] {
		return
	}
	state := t.reaches.of(r.pool)
	state.lastAnswer = now
	state.unanswered = 0
}

// outOfReach reports whether a pool has drained targets and its others are out of reach, so
// that a new flow is to be refused at once. From time to time one is let through as a probe.
func (e *Engine) outOfReach(now time.Duration, pool *catalog.Pool) bool {
	if pool.Drained == 0 {
		return false
	}
	state := e.targets.reaches.of(pool.ID)
	if !state.lost(now) {
		return false
	}
	if now-state.lastProbe >= probeInterval {
		state.lastProbe = now
		return false
	}
	return true
}

// Unreachable reports whether the host should get no packets because no target that it may
// use is in its reach, though a drained domain has some.
func (e *Engine) Unreachable(now time.Duration) bool {
	if e.view == nil || len(e.view.DrainedDomains) == 0 {
		return false
	}
	for id, state := range e.targets.reaches {
		if pool := e.view.Pools[id]; pool != nil && pool.Drained > 0 && state.lost(now) {
			return true
		}
	}
	return false
}
