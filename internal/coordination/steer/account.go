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

// recordPlacing counts the placing of a flow by the answer to its first request, and
// remembers targets that have a free slot.
func (e *Engine) recordPlacing(now time.Duration, f *flow, answer shed.Answer, queue float64, rejected bool) {
	free := f.target.free
	if answer.First {
		e.account.Made(outcomes.Placing)
		if (rejected || answer.Took > answer.Objective) && free.OtherSince(f.requestAt, f.target) {
			e.account.Wrong(outcomes.Placing)
		}
	}
	if !rejected && queue <= freeQueue {
		free.Record(now, f.target)
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
