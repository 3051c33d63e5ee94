package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// unansweredTimeout is how long an opening stays with a target that does not
// answer and is not ejected. Callers retransmit an opening after one and three
// seconds, so the second retransmission moves.
const unansweredTimeout = 1500 * time.Millisecond

// shouldMove reports whether a retransmitted opening moves to another target.
// Only openings without payload move: no payload of the flow was forwarded to
// any target yet.
func (e *Engine) shouldMove(f *flow, r *record, target *state.TargetEntry) bool {
	if e.settings.PinOpenings || !alwaysOpens(f.packet.Kind) || f.packet.PayloadSize > 0 {
		return false
	}
	if r.phase != phaseOpening || f.routes.entry.Way != state.ForwardByOwner || !e.snap.Ready {
		return false
	}
	return target.Ejected || e.tick-r.refreshedAt >= ticks(unansweredTimeout)
}

// moveFlow places a flow again because its target has not answered. The second
// owner accepts the new verdict unless it has seen the flow open.
func (e *Engine) moveFlow(f *flow, r *record, target *state.TargetEntry) Decision {
	f.avoid = target.Number
	newTarget, _ := e.chooseTarget(f)
	if newTarget == nil {
		return e.forwardToEntry(r.service, target, ReasonNone)
	}
	v := forwardVerdict(newTarget.Number)
	v.flags = headerTentative
	e.applyVerdict(r, v)
	r.refreshedAt = e.tick
	newTarget.Counters.Openings.Add(1)
	e.updateFlowCount(f.owners.first.self, r, newTarget)
	if !e.canRelay(f) {
		r.clear(flagTentative)
		return e.forward(r.service, v.target, ReasonMoved)
	}
	v.flags |= headerMoved
	return e.relayWithHeader(f, f.owners.otherOwner(), v.header(relay.KindOpening), ReasonMoved)
}

// acceptsMove reports whether the second owner replaces its verdict by that of
// the first owner, which moved the opening to another target.
func acceptsMove(f *flow, r *record, v flowVerdict) bool {
	return v.has(headerMoved) && alwaysOpens(f.packet.Kind) && r.phase == phaseOpening
}
