package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// handleSYN decides about an opening: a new one is placed; the client's own copy of a
// known one is a sign that the last offer failed.
func (e *Engine) handleSYN(now time.Duration, route *catalog.RouteEntry, p *Packet) Verdict {
	key := p.key()
	f := e.flows[key]
	if f != nil && f.pending != nil && f.pending.seq == p.Seq {
		return e.handleSYNRetransmission(now, f)
	}
	if f != nil && f.pending == nil && f.synSeq == p.Seq {
		// A copy that was on its way when the flow opened: another target must not
		// answer it.
		return Verdict{Reason: ReasonAlreadyOpen}
	}
	if f != nil {
		e.removeFlow(key)
	}
	e.targets.totalLoad.syns++
	f = newFlow(now, key, route)
	f.pending = &pendingSYN{seq: p.Seq, pool: e.selectPool(route), startedAt: now}
	f.pending.size = copy(f.pending.raw[:], p.Raw)
	verdict := e.forwardSYN(now, f, ReasonPlaced)
	if verdict.Action == ActionForward {
		e.flows[key] = f
		e.pending[key] = f
	}
	return verdict
}

// handleSYNRetransmission answers the client's copy of an opening.
func (e *Engine) handleSYNRetransmission(now time.Duration, f *flow) Verdict {
	f.lastSeen = now
	if now < f.pending.deadline {
		// The newest offer may still be answered.
		return Verdict{Reason: ReasonRetried}
	}
	return e.retrySYN(now, f)
}

// retrySYN counts the newest offer as failed and makes another.
func (e *Engine) retrySYN(now time.Duration, f *flow) Verdict {
	o := f.pending
	if n := len(o.tried); n > 0 {
		e.targets.recordMiss(now, o.tried[n-1], false)
	}
	return e.forwardSYN(now, f, ReasonRetried)
}

// forwardSYN sends an opening to the best target that has not had it.
func (e *Engine) forwardSYN(now time.Duration, f *flow, reason Reason) Verdict {
	o := f.pending
	target, r := e.selectTarget(now, o.pool, o.tried)
	if target == nil && len(o.tried) > 0 {
		// Every target has had it: the datagram may have been lost.
		target, r = e.selectTarget(now, o.pool, nil)
	}
	if target == nil {
		return e.handleNoTarget(f)
	}
	r.pendingSYNs++
	o.tried = append(o.tried, r)
	o.lastAttemptAt = now
	o.deadline = now + r.attemptTimeout()
	return Verdict{
		Action:   ActionForward,
		Reason:   reason,
		Target:   target,
		SYN:      true,
		Client:   f.key.Caller,
		Service:  f.key.Service,
		Raw:      o.raw[:o.size],
		Evidence: Evidence{Target: r.name, Age: now - r.lastAnswer, Waiting: r.waiting, Open: r.openFlows},
	}
}

// handleNoTarget refuses an opening at once when nobody can take it. While targets may
// live whose entries lapsed, the client's next copy may be served.
func (e *Engine) handleNoTarget(f *flow) Verdict {
	if !e.view.Complete {
		return Verdict{Reason: ReasonNoTarget}
	}
	return Verdict{Action: ActionReset, Reason: ReasonNoTarget, Client: f.key.Caller, Service: f.key.Service}
}

// releaseAttempts takes an opening's offers off its targets' load.
func (o *pendingSYN) releaseAttempts() {
	for _, r := range o.tried {
		r.pendingSYNs--
	}
}

// NextDeadline returns when Due has something to decide, 0 for at once; ok is false
// for never.
func (e *Engine) NextDeadline() (at time.Duration, ok bool) {
	if len(e.resets) > 0 {
		return 0, true
	}
	at, ok = e.targets.nextRecheck()
	for _, f := range e.pending {
		if !ok || f.pending.deadline < at {
			at, ok = f.pending.deadline, true
		}
	}
	return at, ok
}

// HandleDeadlines decides about the openings whose answer is overdue. Call it only after all
// packets that have arrived were handed to Packet.
func (e *Engine) HandleDeadlines(now time.Duration, verdicts []Verdict) []Verdict {
	for key, f := range e.pending {
		o := f.pending
		if now < o.deadline {
			continue
		}
		if now-o.startedAt > clientConnectTimeout {
			e.removeFlow(key)
			continue
		}
		if len(o.tried) >= maxAttempts {
			o.deadline = o.startedAt + clientConnectTimeout + 1
			continue
		}
		verdicts = append(verdicts, e.retrySYN(now, f))
	}
	e.targets.recheckDown(now)
	verdicts = append(verdicts, e.resets...)
	e.resets = e.resets[:0]
	e.sweep(now)
	return verdicts
}
