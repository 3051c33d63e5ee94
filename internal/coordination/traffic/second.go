package traffic

import (
	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// asSecond decides about a packet that carries the verdict of the first owner.
func (e *Engine) asSecond(f *flow) Decision {
	incoming := judgementOf(f.packet.Relay)
	if incoming.verdict == relay.VerdictNone {
		return drop(ReasonForeignHeader)
	}
	r := e.records.find(f.packet.Fingerprint)
	if r != nil && (r.service != f.routes.entry.Number || opens(f.packet.Kind) && e.replaceable(r)) {
		e.remove(r)
		r = nil
	}
	if r == nil {
		return e.adoptUnknown(f, incoming)
	}
	if incoming.overrides(r) || takesMove(f, r, incoming) {
		e.adopt(r, incoming)
		d := e.executeRecord(f, r)
		if partner := f.owners.partner(); partner != nil && f.packet.Relay.Position == positionReturned {
			d.notify(partner, recordHeader(relay.KindConfirm, r))
		}
		return d
	}
	if incoming.agrees(r) {
		return e.executeRecord(f, r)
	}
	return e.disagree(f, r)
}

// disagree carries the record's verdict out against that of the sender. An
// owner of before a change hands the packet back with its verdict, so that the
// present owners know it before the target answers.
func (e *Engine) disagree(f *flow, r *record) Decision {
	sender := e.sender(f)
	if f.packet.Relay.Position == positionFormer && sender != nil {
		r.clear(flagTentative)
		h := recordHeader(relay.KindOpening, r)
		h.Position = positionReturned
		return e.relayHeader(f, sender, h, ReasonToSecond)
	}
	d := e.executeRecord(f, r)
	if sender != nil {
		d.notify(sender, recordHeader(relay.KindConfirm, r))
	}
	return d
}

// sender returns the host that relayed the packet, or the partner if the view
// does not hold that host; nil if there is neither.
func (e *Engine) sender(f *flow) *hostRoute {
	if sender := e.view.host(f.packet.From); sender != nil {
		return sender
	}
	return f.owners.partner()
}

// adoptUnknown takes the verdict for a flow that this host has no record of.
func (e *Engine) adoptUnknown(f *flow, v judgement) Decision {
	if v.verdict == relay.VerdictRefuse && !e.settled(f.owners.home) {
		return drop(ReasonUnsettled)
	}
	if v.has(headerFresh) && e.isLeaving(v.target) && f.routes.entry.Way == state.ForwardByOwner {
		return e.overrule(f)
	}
	r := e.keep(f, v)
	former := e.formerOwner(f)
	if former != nil && v.has(headerFresh) && f.packet.Relay.Position < positionFormer {
		h := v.header(relay.KindOpening)
		h.Position = positionFormer
		return e.relayHeader(f, former, h, ReasonToPrevious)
	}
	if r == nil {
		d := e.execute(f, v)
		if d.Verb == VerbForward {
			d.Reason = ReasonNoCopy
		}
		return d
	}
	return e.executeRecord(f, r)
}

// isLeaving reports whether a target is known to take no new flows for good.
func (e *Engine) isLeaving(number state.TargetNumber) bool {
	target := e.snap.Targets[number]
	return target != nil && (target.Leaving || target.Withdrawn)
}

// Values of relay.Header.Position with KindOpening.
const (
	// positionFormer marks a verdict sent to the owner before a change.
	positionFormer = 2
	// positionReturned marks the verdict of an owner before a change.
	positionReturned = 3
)

// overrule places a new flow itself because the first owner, by an older
// snapshot, chose a target that is leaving.
func (e *Engine) overrule(f *flow) Decision {
	v := e.judge(f)
	if v.verdict == relay.VerdictNone {
		return drop(v.reason)
	}
	r := e.keep(f, v)
	d := e.execute(f, v)
	if r != nil {
		r.clear(flagTentative)
		if partner := f.owners.partner(); partner != nil {
			d.notify(partner, recordHeader(relay.KindConfirm, r))
		}
	}
	return d
}

// executeRecord carries the record's verdict out for the packet.
func (e *Engine) executeRecord(f *flow, r *record) Decision {
	r.clear(flagTentative)
	if !r.forwards() {
		return e.refusedAgain(f, r)
	}
	target := e.snap.Targets[r.target]
	if target == nil {
		return e.returnToOwner(f, r)
	}
	e.observe(f, r, target)
	r.refreshed = e.tick
	return e.deliver(r.service, target, ReasonNone)
}

// returnToOwner hands a packet back to the owner that knows the target.
func (e *Engine) returnToOwner(f *flow, r *record) Decision {
	sender := e.sender(f)
	if sender == nil {
		return drop(ReasonUnknownTarget)
	}
	h := recordHeader(relay.KindPacket, r)
	return e.relayHeader(f, sender, h, ReasonToOwner)
}
