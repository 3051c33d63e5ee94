package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/shed"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// synQueues hold the SYNs that wait for a slot, by pool.
type synQueues map[catalog.PoolID]*shed.Queue[state.FlowKey]

// of returns the queue of a pool.
func (q synQueues) of(pool catalog.PoolID) *shed.Queue[state.FlowKey] {
	queue := q[pool]
	if queue == nil {
		queue = shed.NewQueue[state.FlowKey]()
		q[pool] = queue
	}
	return queue
}

// admitSYN decides about a new SYN: it is forwarded, waits for a slot, or is refused.
func (e *Engine) admitSYN(now time.Duration, route *catalog.RouteEntry, f *flow) Verdict {
	pool := f.pending.pool
	limiter := e.targets.limiters.of(pool.ID)
	if !e.usesEstimates(pool) {
		if !limiter.Admit(route.Priority) {
			return refuse(f, ReasonOverloaded)
		}
		return e.placeSYN(now, f, ReasonPlaced)
	}
	queue := e.synQueues.of(pool.ID)
	if queue.Len() == 0 && limiter.Admit(route.Priority) {
		queue.RecordAdmitted(f.key.Caller.Addr())
		return e.placeSYN(now, f, ReasonPlaced)
	}
	return e.enqueueSYN(now, queue, f)
}

// enqueueSYN has a SYN wait for a slot. If too many wait, the last of them is refused: this
// one, or another one at the next HandleDeadlines.
func (e *Engine) enqueueSYN(now time.Duration, queue *shed.Queue[state.FlowKey], f *flow) Verdict {
	s := f.pending
	s.queued = true
	s.deadline = now + queue.QueueTime(now, f.objective)
	e.flows[f.key] = f
	e.pending[f.key] = f
	e.waitingSYNs++
	removed, full := queue.Add(shed.Item[state.FlowKey]{
		Key: f.key, Priority: f.priority, Client: f.key.Caller.Addr(), Until: s.deadline,
	})
	switch {
	case !full:
	case removed.Key == f.key:
		e.removeFlow(f.key)
		return refuse(f, ReasonOverloaded)
	default:
		e.resets = append(e.resets, refuse(e.flows[removed.Key], ReasonOverloaded))
		e.removeFlow(removed.Key)
	}
	return Verdict{Reason: ReasonWaiting}
}

// admitWaiting forwards the waiting SYNs that are admitted now.
func (e *Engine) admitWaiting(now time.Duration, verdicts []Verdict) []Verdict {
	e.admitDue = false
	for pool, queue := range e.synQueues {
		limiter := e.targets.limiters.of(pool)
		for {
			item, waiting := queue.First()
			if !waiting || !limiter.Admit(item.Priority) {
				break
			}
			f := e.flows[item.Key]
			e.leaveQueue(f)
			queue.RecordAdmitted(item.Client)
			verdicts = append(verdicts, e.placeSYN(now, f, ReasonPlaced))
		}
	}
	return verdicts
}

// expireWaiting refuses a SYN that has waited for as long as it may.
func (e *Engine) expireWaiting(f *flow) Verdict {
	e.removeFlow(f.key)
	return refuse(f, ReasonOverloaded)
}

// leaveQueue removes a flow from the queue of its pool.
func (e *Engine) leaveQueue(f *flow) {
	if f.pending != nil && f.pending.queued {
		e.synQueues.of(f.pending.pool.ID).Remove(f.key)
		f.pending.queued = false
		e.waitingSYNs--
	}
}

// recordFreeSlot has the waiting SYNs looked at: a request in flight has ended.
func (e *Engine) recordFreeSlot() {
	if e.waitingSYNs > 0 {
		e.admitDue = true
	}
}

// sweepQueues lets the counts of admitted flows fade and removes the queues of pools that
// the view no longer has.
func (e *Engine) sweepQueues() {
	for pool, queue := range e.synQueues {
		queue.Decay()
		if e.view.Pools[pool] == nil && queue.Len() == 0 {
			delete(e.synQueues, pool)
		}
	}
}
