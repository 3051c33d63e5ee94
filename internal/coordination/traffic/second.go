package traffic

import (
	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// handleAsSecondOwner decides about a packet that carries the verdict of the
// first owner.
func (e *Engine) handleAsSecondOwner(f *flow) Decision {
	incoming := verdictFromHeader(f.packet.Relay)
	if incoming.kind == relay.VerdictNone {
		return drop(ReasonForeignHeader)
	}
	r := e.records.find(f.packet.Fingerprint)
	if r != nil && (r.service != f.routes.entry.Number || alwaysOpens(f.packet.Kind) && e.replaceable(r)) {
		e.removeRecord(r)
		r = nil
	}
	if r == nil {
		return e.adoptNewFlow(f, incoming)
	}
	if incoming.overrides(r) || acceptsMove(f, r, incoming) {
		e.applyVerdict(r, incoming)
		d := e.executeRecord(f, r)
		if other := f.owners.otherOwner(); other != nil && f.packet.Relay.Position == positionReturned {
			d.addMessage(other, recordHeader(relay.KindConfirm, r))
		}
		return d
	}
	if incoming.matches(r) {
		return e.executeRecord(f, r)
	}
	return e.resolveConflict(f, r)
}

// resolveConflict carries out the record's verdict against that of the sender.
// The previous owner of a flow returns the packet with its verdict, so that the
// current owners have it before the target answers.
func (e *Engine) resolveConflict(f *flow, r *record) Decision {
	sender := e.sender(f)
	if f.packet.Relay.Position == positionPreviousOwner && sender != nil {
		r.clear(flagTentative)
		h := recordHeader(relay.KindOpening, r)
		h.Position = positionReturned
		return e.relayWithHeader(f, sender, h, ReasonToSecond)
	}
	d := e.executeRecord(f, r)
	if sender != nil {
		d.addMessage(sender, recordHeader(relay.KindConfirm, r))
	}
	return d
}

// sender returns the host that relayed the packet, or the other owner if that
// host is not in the view. It is nil if there is neither.
func (e *Engine) sender(f *flow) *ownerCandidate {
	if sender := e.view.host(f.packet.From); sender != nil {
		return sender
	}
	return f.owners.otherOwner()
}

// adoptNewFlow handles a received verdict on a flow without a record here.
func (e *Engine) adoptNewFlow(f *flow, v flowVerdict) Decision {
	if v.kind == relay.VerdictRefuse && !e.settled(f.owners.home) {
		return drop(ReasonUnsettled)
	}
	if v.has(headerNew) && e.isLeaving(v.target) && f.routes.entry.Way == state.ForwardByOwner {
		return e.overruleFirstOwner(f)
	}
	r := e.addRecord(f, v)
	previous := e.previousOwner(f)
	if previous != nil && v.has(headerNew) && f.packet.Relay.Position < positionPreviousOwner {
		h := v.header(relay.KindOpening)
		h.Position = positionPreviousOwner
		return e.relayWithHeader(f, previous, h, ReasonToPrevious)
	}
	if r == nil {
		d := e.execute(f, v)
		if d.Action == ActionForward {
			d.Reason = ReasonNoCopy
		}
		return d
	}
	return e.executeRecord(f, r)
}

// isLeaving reports whether a target is leaving or withdrawn, and so takes no
// new flows.
func (e *Engine) isLeaving(number state.TargetNumber) bool {
	target := e.snap.Targets[number]
	return target != nil && (target.Leaving || target.Withdrawn)
}

// Values of relay.Header.Position with KindOpening.
const (
	// positionPreviousOwner marks a verdict sent to the owner before a change.
	positionPreviousOwner = 2
	// positionReturned marks the verdict that the owner before a change returns.
	positionReturned = 3
)

// overruleFirstOwner places a new flow again because the first owner, with an
// older snapshot, has chosen a target that is leaving.
func (e *Engine) overruleFirstOwner(f *flow) Decision {
	v := e.decideNewFlow(f)
	if v.kind == relay.VerdictNone {
		return drop(v.reason)
	}
	r := e.addRecord(f, v)
	d := e.execute(f, v)
	if r != nil {
		r.clear(flagTentative)
		if other := f.owners.otherOwner(); other != nil {
			d.addMessage(other, recordHeader(relay.KindConfirm, r))
		}
	}
	return d
}

// executeRecord confirms the record's verdict and carries it out for the packet.
func (e *Engine) executeRecord(f *flow, r *record) Decision {
	r.clear(flagTentative)
	if !r.hasTarget() {
		return e.repeatRefusal(f, r)
	}
	target := e.snap.Targets[r.target]
	if target == nil {
		return e.returnToOwner(f, r)
	}
	e.updateRecord(f, r, target)
	r.refreshedAt = e.tick
	return e.forwardToEntry(r.service, target, ReasonNone)
}

// returnToOwner relays a packet back to the owner that knows the target.
func (e *Engine) returnToOwner(f *flow, r *record) Decision {
	sender := e.sender(f)
	if sender == nil {
		return drop(ReasonUnknownTarget)
	}
	h := recordHeader(relay.KindPacket, r)
	return e.relayWithHeader(f, sender, h, ReasonToOwner)
}
