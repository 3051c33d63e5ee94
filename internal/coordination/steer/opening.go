package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// open decides about an opening: a new one is placed; the client's own copy of a
// known one is a sign that the last offer failed.
func (e *Engine) open(now time.Duration, route *catalog.RouteEntry, p *Packet) Verdict {
	key := p.key()
	f := e.flows[key]
	if f != nil && f.opening != nil && f.opening.seq == p.Seq {
		return e.offerAgain(now, f)
	}
	if f != nil && f.opening == nil && f.openSeq == p.Seq {
		// A copy that was on its way when the flow opened: another target must not
		// answer it.
		return Verdict{Reason: ReasonAlreadyOpen}
	}
	if f != nil {
		e.forget(key)
	}
	e.records.all.openings++
	f = newFlow(now, key, route)
	f.opening = &opening{seq: p.Seq, pool: e.pick(route), began: now}
	f.opening.size = copy(f.opening.raw[:], p.Raw)
	verdict := e.offer(now, f, ReasonPlaced)
	if verdict.Action == ActionForward {
		e.flows[key] = f
		e.openings[key] = f
	}
	return verdict
}

// offerAgain answers the client's copy of an opening.
func (e *Engine) offerAgain(now time.Duration, f *flow) Verdict {
	f.lastSeen = now
	if now < f.opening.due {
		// The newest offer may still be answered.
		return Verdict{Reason: ReasonRetried}
	}
	return e.reoffer(now, f)
}

// reoffer counts the newest offer as failed and makes another.
func (e *Engine) reoffer(now time.Duration, f *flow) Verdict {
	o := f.opening
	if n := len(o.tried); n > 0 {
		e.records.missedOne(now, o.tried[n-1], false)
	}
	return e.offer(now, f, ReasonRetried)
}

// offer sends an opening to the best target that has not had it.
func (e *Engine) offer(now time.Duration, f *flow, reason Reason) Verdict {
	o := f.opening
	target, r := e.choose(now, o.pool, o.tried)
	if target == nil && len(o.tried) > 0 {
		// Every target has had it: the datagram may have been lost.
		target, r = e.choose(now, o.pool, nil)
	}
	if target == nil {
		return e.noTarget(f)
	}
	r.offers++
	o.tried = append(o.tried, r)
	o.offeredAt = now
	o.due = now + r.patience()
	return Verdict{
		Action:   ActionForward,
		Reason:   reason,
		Target:   target,
		SYN:      true,
		Client:   f.key.Caller,
		Service:  f.key.Service,
		Raw:      o.raw[:o.size],
		Evidence: Evidence{Target: r.name, Age: now - r.lastAnswer, Waiting: r.waiting, Open: r.open},
	}
}

// noTarget refuses an opening at once when nobody can take it. While targets may
// live whose entries lapsed, the client's next copy may be served.
func (e *Engine) noTarget(f *flow) Verdict {
	if !e.view.Complete {
		return Verdict{Reason: ReasonNoTarget}
	}
	return Verdict{Action: ActionReset, Reason: ReasonNoTarget, Client: f.key.Caller, Service: f.key.Service}
}

// release takes an opening's offers off its targets' load.
func (o *opening) release() {
	for _, r := range o.tried {
		r.offers--
	}
}

// NextDeadline returns when Due has something to decide, 0 for at once; ok is false
// for never.
func (e *Engine) NextDeadline() (at time.Duration, ok bool) {
	if len(e.resets) > 0 {
		return 0, true
	}
	at, ok = e.records.nextCheck()
	for _, f := range e.openings {
		if !ok || f.opening.due < at {
			at, ok = f.opening.due, true
		}
	}
	return at, ok
}

// HandleDeadlines decides about the openings whose answer is overdue. Call it only after all
// packets that have arrived were handed to Packet.
func (e *Engine) HandleDeadlines(now time.Duration, verdicts []Verdict) []Verdict {
	for key, f := range e.openings {
		o := f.opening
		if now < o.due {
			continue
		}
		if now-o.began > openingLifetime {
			e.forget(key)
			continue
		}
		if len(o.tried) >= maxOffers {
			o.due = o.began + openingLifetime + 1
			continue
		}
		verdicts = append(verdicts, e.reoffer(now, f))
	}
	e.records.recheck(now)
	verdicts = append(verdicts, e.resets...)
	e.resets = e.resets[:0]
	e.sweep(now)
	return verdicts
}
