package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// asOwner decides about a packet that reached this host as an owner candidate.
func (e *Engine) asOwner(f *flow) Decision {
	r := e.records.find(f.packet.Fingerprint)
	if r == nil {
		return e.withoutRecord(f)
	}
	if r.service != f.routes.entry.Number {
		e.remove(r)
		return e.withoutRecord(f)
	}
	if opens(f.packet.Kind) && r.replaceable() {
		e.remove(r)
		return e.withoutRecord(f)
	}
	if !r.forwards() {
		return e.refusedAgain(f, r)
	}
	return e.withRecord(f, r)
}

// opens reports whether a packet kind always starts a flow.
func opens(kind PacketKind) bool { return kind == KindOpening }

// mayOpen reports whether a packet kind may start a flow.
func mayOpen(kind PacketKind) bool { return kind == KindOpening || kind == KindDatagram }

// withoutRecord opens a flow, or searches the chain for the flow's record.
func (e *Engine) withoutRecord(f *flow) Decision {
	if !mayOpen(f.packet.Kind) {
		return e.search(f)
	}
	first := f.chain.first()
	if !first.self && f.packet.Relay.Hops < maxRedirects {
		return e.relayTo(f, first, 0, ReasonToOwner)
	}
	return e.open(f)
}

// maxRedirects bounds the hops after which a host that is not the first owner
// by its own view opens a flow nevertheless.
const maxRedirects = 3

// open places a new flow. The verdict is tentative until the second owner has
// seen it.
func (e *Engine) open(f *flow) Decision {
	v := e.judge(f)
	if v.verdict == relay.VerdictNone {
		return drop(v.reason)
	}
	r := e.keep(f, v)
	if target := e.snap.Targets[v.target]; target != nil {
		target.Load.Openings.Add(1)
	}
	partner := f.chain.partner()
	if partner == nil || e.settings.SingleOwner {
		if r != nil {
			r.clear(flagTentative)
		}
		return e.execute(f, v)
	}
	v.flags |= headerFresh
	return e.relayHeader(f, partner, v.header(relay.KindOpening), ReasonToSecond)
}

// withRecord passes a packet on to the target that its flow's record names.
func (e *Engine) withRecord(f *flow, r *record) Decision {
	target := e.snap.Targets[r.target]
	if target == nil {
		return e.search(f)
	}
	agreed := f.packet.Relayed && f.packet.Relay.Verdict == relay.VerdictForward
	known := f.packet.Kind == KindData || f.packet.Kind == KindDatagram && r.phase == phaseOpen
	e.observe(f, r, target)
	partner := f.chain.partner()
	via := e.needsPartner(f, r) && !agreed && partner != nil && !e.settings.SingleOwner
	if known && e.settledOpening(f) {
		r.clear(flagTentative)
	}
	if via {
		r.refreshed = e.tick
		h := recordHeader(relay.KindOpening, r)
		return e.relayHeader(f, partner, h, ReasonToSecond)
	}
	d := e.forward(r.service, r.target, ReasonNone)
	e.repair(f, r, &d)
	return d
}

// needsPartner reports whether the other owner has to see this packet: while
// the verdict is tentative, when the flow's phase changes, and now and then so
// that its copy stays.
func (e *Engine) needsPartner(f *flow, r *record) bool {
	if r.has(flagTentative) || f.packet.Kind == KindClosing || f.packet.Kind == KindReset {
		return true
	}
	interval := min(e.idleTimeout(f.routes.entry)/2, refreshInterval)
	return e.tick-r.refreshed > ticks(interval)
}

// refreshInterval is the longest time after which the next packet of a flow
// passes through the second owner.
const refreshInterval = 30 * time.Second

// settledOpening reports whether a packet in mid-flow proves a tentative
// verdict: owners have not changed lately, so both owners knew the same.
func (e *Engine) settledOpening(f *flow) bool {
	former := f.routes.former != nil && !e.now.After(f.routes.formerUntil)
	return !former && e.now.Sub(e.started) >= e.settings.Overlap
}

// search passes a packet without a record to the next candidate. The last one
// falls back to the base table.
func (e *Engine) search(f *flow) Decision {
	next := f.chain.self() + 1
	if next == 0 {
		next = int(f.packet.Relay.Position) + 1
	}
	if next < f.chain.len && !e.settings.SingleOwner {
		return e.relayTo(f, f.chain.hosts[next], next, ReasonSearch)
	}
	return e.fallBack(f)
}

// fallBack forwards a packet in mid-flow to the target that the base table
// gives, and records that it was a guess.
func (e *Engine) fallBack(f *flow) Decision {
	if !e.settled(f.chain.home) {
		return drop(ReasonUnsettled)
	}
	tables := f.routes.entry.Tables
	target := e.hashTarget(f, tables[len(tables)-1])
	if target == nil {
		return drop(ReasonNoTarget)
	}
	v := forwardTo(target.Number)
	v.flags = headerGuessed | headerOpen
	d := e.forward(target.Service, target.Number, ReasonFallback)
	if r := e.keep(f, v); r != nil {
		e.repairPair(f, r, &d)
	}
	return d
}

// refusedAgain gives a packet of a refused flow the remembered verdict.
func (e *Engine) refusedAgain(f *flow, r *record) Decision {
	if !mayOpen(f.packet.Kind) {
		return drop(ReasonRefusedFlow)
	}
	left := retryDuration(r.retryAfter) - time.Duration(e.tick-r.seen)*tickLength
	return refuse(r.reason, max(left, retryUnit))
}

// refuse answers the caller of an opening.
func refuse(reason Reason, retryAfter time.Duration) Decision {
	return Decision{Verb: VerbRefuse, Reason: reason, RetryAfter: retryAfter}
}

// execute carries a verdict out.
func (e *Engine) execute(f *flow, v judgement) Decision {
	if v.verdict == relay.VerdictRefuse {
		return refuse(v.reason, retryDuration(v.retryAfter))
	}
	return e.forward(f.routes.entry.Number, v.target, ReasonNone)
}

// observe updates a record by a packet of its flow.
func (e *Engine) observe(f *flow, r *record, target *state.TargetEntry) {
	r.seen = e.tick
	e.count(f.chain.first().self, r, target)
	switch f.packet.Kind {
	case KindOpening:
	case KindData, KindDatagram:
		e.advance(r, target)
	case KindClosing, KindReset:
		e.close(r, target, f.packet.Kind)
	}
}

// advance notes a packet in mid-flow.
func (e *Engine) advance(r *record, target *state.TargetEntry) {
	if r.phase == phaseOpening {
		r.phase = phaseOpen
		if r.has(flagCounted) {
			target.Load.Completed.Add(1)
		}
		return
	}
	if r.phase == phaseClosing && e.tick-r.refreshed > ticks(reopenAfter) {
		r.phase = phaseOpen
	}
}

// reopenAfter is how long after a FIN or RST a packet in mid-flow shows that
// the flow goes on.
const reopenAfter = 5 * time.Second

// close notes that the caller closed or reset the flow.
func (e *Engine) close(r *record, target *state.TargetEntry, kind PacketKind) {
	if kind == KindReset && r.phase != phaseClosing && r.has(flagCounted) {
		target.Load.Resets.Add(1)
	}
	r.phase = phaseClosing
}
