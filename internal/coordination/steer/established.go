package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/outcomes"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// observeEstablished updates the state of an established flow and of its target. It
// returns false if the flow must be reset: its target is down, and the packet is either
// a new request, which has not been executed, or belongs to an idempotent one.
func (e *Engine) observeEstablished(now time.Duration, route *catalog.RouteEntry, target *catalog.Target, p *Packet) (forward bool) {
	key := p.key()
	f := e.flows[key]
	if f == nil || f.pending != nil || f.target != e.targets.getOrCreate(target, now) {
		f = e.trackOpenFlow(now, key, route, target, p, f)
	}
	if p.RST || p.FIN && p.Length == 0 {
		e.removeFlow(key)
		return true
	}
	wasWaiting := f.waiting
	retransmitted := f.retransmissions > 0
	switch f.observe(now, p) {
	case signalAnswered:
		e.targets.recordAnswer(now, f.target)
		if wasWaiting && !retransmitted {
			e.recordAnswerTime(now, f)
		}
	case signalRetransmitted:
		e.targets.recordMiss(now, f.target, true)
	case signalTargetRetransmitted:
		e.targets.recordMiss(now, f.target, false)
	}
	newRequest := f.waiting && !wasWaiting
	readAt := e.certainReadAt()
	if !f.shouldReset(now, readAt) && !(newRequest && f.targetDown(now, readAt)) {
		e.requestEvidence(now, f)
		return true
	}
	e.resets.record(key, f.nextSeq, f.openSince)
	e.removeFlow(key)
	// The evidence from this flow holds for the target's other flows, too.
	e.resetStuckFlows(now, f.target)
	return false
}

// certainReadAt returns when the newest answered read of the targets was requested; 0 if its
// answer may be older than what other hosts know.
func (e *Engine) certainReadAt() time.Duration {
	if !e.view.StoreCertain {
		return 0
	}
	return e.unresolved.targetsReadAt
}

// requestEvidence requests a read of the targets and a check of the flow's target if that is
// down, but may have started again before the flow was opened.
func (e *Engine) requestEvidence(now time.Duration, f *flow) {
	if f.target.down && !f.concerned(e.certainReadAt()) {
		e.unresolved.requested.Targets = true
		e.targets.requestCheck(now, f.target)
	}
}

// trackOpenFlow starts tracking a flow that is open at a target: the target answered
// its SYN, or this host sees the flow for the first time.
func (e *Engine) trackOpenFlow(now time.Duration, key state.FlowKey, route *catalog.RouteEntry, target *catalog.Target, p *Packet, previous *flow) *flow {
	r := e.targets.getOrCreate(target, now)
	f := newFlow(now, key, route)
	f.target, f.openSince, f.nextSeq, f.ack = r, now, p.Seq, p.Ack
	if reset, found := e.resets[key]; found && reset.near(p.Seq) {
		f.openSince, f.resetBefore = reset.first, true
	}
	if previous != nil {
		if s := previous.pending; s != nil && contains(s.tried, r) {
			f.synSeq = s.seq
			f.placedHere = true
			f.onlyPlacedHere = !s.copied && now-s.startedAt < minRetransmitDelay
			e.recordSYNAnswer(now, s, r)
		}
		e.removeFlow(key)
	}
	r.openFlows++
	e.flows[key] = f
	return f
}

// recordSYNAnswer records that a target answered a SYN. Only the latest attempt yields
// a handshake RTT sample: the times of earlier ones are not stored.
func (e *Engine) recordSYNAnswer(now time.Duration, s *pendingSYN, r *targetRecord) {
	e.targets.recordAnswer(now, r)
	e.handshakeTime = now - s.startedAt
	if s.tried[len(s.tried)-1] != r {
		e.account.Wrong(outcomes.Retrying)
		return
	}
	r.handshakeRTT.add(now - s.lastAttemptAt)
}
