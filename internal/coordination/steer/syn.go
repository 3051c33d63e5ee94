package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/outcomes"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// handleSYN forwards a new SYN, or refuses it in an overload. A retransmission of a pending
// SYN indicates that its latest attempt may have failed. One of a SYN that this host has
// not seen is never refused: another host may have forwarded the SYN, and the flow may be
// open.
func (e *Engine) handleSYN(now time.Duration, route *catalog.RouteEntry, p *Packet) Verdict {
	key := p.key()
	f := e.flows[key]
	if f != nil && f.pending != nil && f.pending.seq == p.Seq {
		return e.handleSYNRetransmission(now, f)
	}
	if f != nil && f.pending == nil && f.synSeq == p.Seq {
		// A copy that was in transit when the flow opened: a second target must not answer
		// it.
		return Verdict{Reason: ReasonAlreadyOpen}
	}
	if f != nil {
		e.removeFlow(key)
	}
	e.targets.totalLoad.syns++
	f = newFlow(now, key, route)
	f.pending = &pendingSYN{seq: p.Seq, pool: e.selectPool(route), startedAt: now, copied: p.Retransmitted()}
	f.pending.size = copy(f.pending.raw[:], p.Raw)
	if p.Retransmitted() {
		return e.placeSYN(now, f, ReasonPlaced)
	}
	if !e.targets.limiters.of(f.pending.pool.ID).Admit(route.Priority, p.Client.Addr()) {
		return refuse(f, ReasonOverloaded)
	}
	return e.placeSYN(now, f, ReasonPlaced)
}

// placeSYN forwards a SYN for the first time and tracks its flow.
func (e *Engine) placeSYN(now time.Duration, f *flow, reason Reason) Verdict {
	if e.outOfReach(now, e.currentPool(f.pending.pool)) {
		e.removeFlow(f.key)
		return refuse(f, ReasonUnreachable)
	}
	verdict := e.forwardSYN(now, f, reason)
	if verdict.Action != ActionForward {
		e.removeFlow(f.key)
		return verdict
	}
	e.flows[f.key] = f
	e.pending[f.key] = f
	f.enterLimiter(e.targets.limiters.of(f.pending.pool.ID))
	return verdict
}

// handleSYNRetransmission retries a pending SYN if its latest attempt has timed out.
func (e *Engine) handleSYNRetransmission(now time.Duration, f *flow) Verdict {
	f.lastSeen = now
	f.pending.copied = true
	if now < f.pending.deadline {
		// The latest attempt may still be answered.
		return Verdict{Reason: ReasonRetried}
	}
	return e.retrySYN(now, f)
}

// retrySYN records the latest attempt as unanswered and makes another one. If no target can
// take the SYN now, one may later.
func (e *Engine) retrySYN(now time.Duration, f *flow) Verdict {
	s := f.pending
	if !s.stalled {
		e.recordUnanswered(now, s)
	}
	verdict := e.forwardSYN(now, f, ReasonRetried)
	s.stalled = verdict.Action != ActionForward
	if s.stalled {
		s.deadline = now + maxAttemptTimeout
	}
	return verdict
}

// recordUnanswered records that the latest attempt was not answered in time.
func (e *Engine) recordUnanswered(now time.Duration, s *pendingSYN) {
	n := len(s.tried)
	if n == 0 {
		return
	}
	e.account.Made(outcomes.Retrying)
	e.targets.reaches.of(s.pool.ID).unanswered++
	if n <= maxSuspectedAttempts {
		e.targets.recordMiss(now, s.tried[n-1], false)
	}
}

// forwardSYN forwards a SYN to the best target that was not tried yet.
func (e *Engine) forwardSYN(now time.Duration, f *flow, reason Reason) Verdict {
	s := f.pending
	pool := e.currentPool(s.pool)
	target, r := e.selectTarget(now, pool, s.tried)
	if target == nil && len(s.tried) > 0 {
		// Every target was tried: a datagram may have been lost, so try any again.
		target, r = e.selectTarget(now, pool, nil)
	}
	if target == nil {
		return e.handleNoTarget(f, pool)
	}
	r.pendingSYNs++
	s.tried = append(s.tried, r)
	s.lastAttemptAt = now
	s.deadline = now + r.attemptTimeout()
	return Verdict{
		Action:   ActionForward,
		Reason:   reason,
		Target:   target,
		SYN:      true,
		Client:   f.key.Caller,
		Service:  f.key.Service,
		Raw:      s.raw[:s.size],
		Evidence: Evidence{Target: r.name, Age: now - r.lastAnswer, Waiting: r.waiting, Open: r.openFlows},
	}
}

// currentPool returns the pool as it is in the view in force, which may be newer than the
// one of the SYN's first attempt.
func (e *Engine) currentPool(pool *catalog.Pool) *catalog.Pool {
	if current := e.view.Pools[pool.ID]; current != nil {
		return current
	}
	return pool
}

// handleNoTarget resets a flow that no target can accept, so that the client need not
// wait. If not all running targets may be known, since entries may have expired, it drops
// the SYN instead: the client's next retransmission may be served.
func (e *Engine) handleNoTarget(f *flow, pool *catalog.Pool) Verdict {
	switch {
	case e.shares != nil && len(pool.Offered) > 0:
		return refuse(f, ReasonSlowStart)
	case pool.Drained > 0:
		return refuse(f, ReasonDomainDrained)
	}
	if !e.view.Complete {
		return Verdict{Reason: ReasonNoTarget}
	}
	return refuse(f, ReasonNoTarget)
}

// refuse returns the verdict that resets a flow that is not open. A flow that may be open is
// left to the client's next copy of its SYN.
func refuse(f *flow, reason Reason) Verdict {
	if f.pending.mayBeOpen() {
		return Verdict{Reason: reason}
	}
	return Verdict{Action: ActionReset, Reason: reason, Client: f.key.Caller, Service: f.key.Service}
}

// mayBeOpen reports whether the client may have opened the flow through another host: this
// host has forwarded its SYN, or another one may have forwarded an earlier copy.
func (s *pendingSYN) mayBeOpen() bool { return s.copied || len(s.tried) > 0 }

// releaseAttempts removes the SYN from the load counts of the targets tried.
func (s *pendingSYN) releaseAttempts() {
	for _, r := range s.tried {
		r.pendingSYNs--
	}
}

// NextDeadline returns when HandleDeadlines must run next, 0 for at once; ok is false
// if nothing is pending.
func (e *Engine) NextDeadline() (at time.Duration, ok bool) {
	if len(e.queued) > 0 {
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

// HandleDeadlines retries the SYNs whose latest attempt has timed out, requests rechecks
// of down targets, removes idle flows, and appends the resulting verdicts and the queued
// ones to verdicts. Call it only after all packets that have arrived were passed to
// HandlePacket.
func (e *Engine) HandleDeadlines(now time.Duration, verdicts []Verdict) []Verdict {
	for key, f := range e.pending {
		s := f.pending
		if now < s.deadline {
			continue
		}
		if now-s.startedAt > clientConnectTimeout {
			e.removeFlow(key)
			continue
		}
		if len(s.tried) >= maxAttempts {
			s.deadline = s.startedAt + clientConnectTimeout + 1
			continue
		}
		verdicts = append(verdicts, e.retrySYN(now, f))
	}
	e.targets.recheckDown(now)
	verdicts = append(verdicts, e.queued...)
	e.queued = e.queued[:0]
	e.sweep(now)
	return verdicts
}
