package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/shed"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// OverloadChange reports that new flows of a pool are limited from now on, or no longer.
type OverloadChange struct {
	Pool catalog.PoolID
	shed.Change
}

// limiters limit the new flows of each pool while its targets have a standing queue.
type limiters map[catalog.PoolID]*shed.Limiter

// of returns the limiter of a pool.
func (l limiters) of(pool catalog.PoolID) *shed.Limiter {
	limiter := l[pool]
	if limiter == nil {
		limiter = new(shed.Limiter)
		l[pool] = limiter
	}
	return limiter
}

// evictUnused removes the limiters of pools that the view no longer has.
func (l limiters) evictUnused(view *catalog.View) {
	for pool := range l {
		if view.Pools[pool] == nil {
			delete(l, pool)
		}
	}
}

// configureLimiter tells the limiter of a pool how to decide and which targets there are.
func (e *Engine) configureLimiter(pool *catalog.Pool) {
	limiter := e.targets.limiters.of(pool.ID)
	limiter.UseRejections = e.usesEstimates(pool)
	targets := make(map[state.DomainID]int)
	for _, target := range pool.Offered {
		targets[target.Domain]++
	}
	limiter.SetTargets(targets)
}

// enterLimiter counts the flow as in flight: its SYN or its request awaits an answer.
func (f *flow) enterLimiter(l *shed.Limiter) {
	f.leaveLimiter()
	f.limiter = l
	l.AddInFlight(1)
	if f.isNew() {
		f.countedNew = true
		l.AddNewFlow(1)
	}
}

// leaveLimiter ends that; a second call does nothing.
func (f *flow) leaveLimiter() {
	if f.limiter == nil {
		return
	}
	f.limiter.AddInFlight(-1)
	if f.countedNew {
		f.countedNew = false
		f.limiter.AddNewFlow(-1)
	}
	f.limiter = nil
}

// recordAnswerTime records how long the target took to answer the request of a flow. The
// time of a request that was sent more than once says nothing about the target's queue.
func (e *Engine) recordAnswerTime(now time.Duration, f *flow) {
	limiter := f.target.limiter
	answer := shed.Answer{
		Took:      now - f.requestAt,
		Objective: f.objective,
		Priority:  f.priority,
		First:     f.isNew(),
		Size:      f.answerSize,
		Source:    &f.target.source,
	}
	if queue, known := limiter.Queue(answer); known {
		rejected := limiter.Rejects(answer)
		f.target.recordEstimate(now, queue, rejected)
		e.recordPlacing(f, answer, rejected)
		f.target.recordFree(now, queue, rejected)
	}
	e.addOverloadChange(f.target.pool, limiter.RecordAnswer(now, answer))
}

// expireOverloads ends the overloads of pools whose targets give too few answers.
func (e *Engine) expireOverloads(now time.Duration) {
	for pool, limiter := range e.targets.limiters {
		e.addOverloadChange(pool, limiter.Expire(now))
	}
}

// addOverloadChange adds a change for the next DrainOverloadChanges; nil is none.
func (e *Engine) addOverloadChange(pool catalog.PoolID, change *shed.Change) {
	if change != nil {
		e.overloadChanges = append(e.overloadChanges, OverloadChange{Pool: pool, Change: *change})
	}
}

// DrainOverloadChanges returns the changes since the last call.
func (e *Engine) DrainOverloadChanges() []OverloadChange {
	changes := e.overloadChanges
	e.overloadChanges = nil
	return changes
}
