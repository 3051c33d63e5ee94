package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/outcomes"
	"github.com/guavawharf/guavawharf/internal/coordination/shed"
)

// freeQueue is the queue, in usual times to an answer, up to which a target that answers
// counts as one that had a free slot.
const freeQueue = 0.5

// DrainOutcomes returns the counts of decisions since the last call.
func (e *Engine) DrainOutcomes() map[outcomes.Decision]outcomes.Count { return e.account.Drain() }

// recordRefusals adds the refusals of all pools to the account.
func (e *Engine) recordRefusals() {
	for _, limiter := range e.targets.limiters {
		if refusals := limiter.DrainRefusals(); refusals.Made > 0 {
			e.account.Add(outcomes.Refusing, refusals)
		}
	}
}

// recordPlacing counts the placing of a flow by the answer to its first request.
func (e *Engine) recordPlacing(f *flow, answer shed.Answer, rejected bool) {
	if !answer.First {
		return
	}
	e.account.Made(outcomes.Placing)
	failed := rejected || answer.Took > answer.Objective
	if failed && f.target.free.OtherSince(f.requestAt, f.target) {
		e.account.Wrong(outcomes.Placing)
	}
}

// recordFree remembers that the target had a free slot, if its answer came without a queue.
func (r *targetRecord) recordFree(now time.Duration, queue float64, rejected bool) {
	if !rejected && queue <= freeQueue {
		r.free.Record(now, r)
	}
}

// recordSuspicion counts the result of a check of a target that was not known to be down.
func (e *Engine) recordSuspicion(r *targetRecord, outcome CheckOutcome) {
	if r.down || outcome == CheckInconclusive || outcome == CheckAllTimedOut {
		return
	}
	e.account.Made(outcomes.Suspecting)
	if outcome == CheckPassed {
		e.account.Wrong(outcomes.Suspecting)
	}
}
