package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// handleAsOwner decides about a packet that this host receives as an owner or in
// a search for the flow's record.
func (e *Engine) handleAsOwner(f *flow) Decision {
	r := e.records.find(f.packet.Fingerprint)
	if r == nil {
		return e.handleWithoutRecord(f)
	}
	if r.service != f.routes.entry.Number {
		e.removeRecord(r)
		return e.handleWithoutRecord(f)
	}
	if alwaysOpens(f.packet.Kind) && e.replaceable(r) {
		e.removeRecord(r)
		return e.handleWithoutRecord(f)
	}
	if !r.hasTarget() {
		return e.repeatRefusal(f, r)
	}
	return e.handleWithRecord(f, r)
}

// alwaysOpens reports whether every packet of a kind starts a flow.
func alwaysOpens(kind PacketKind) bool { return kind == KindSYN }

// mayOpen reports whether a packet of a kind may start a flow.
func mayOpen(kind PacketKind) bool { return kind == KindSYN || kind == KindDatagram }

// handleWithoutRecord opens a new flow, or searches for the record of an open
// one.
func (e *Engine) handleWithoutRecord(f *flow) Decision {
	hasVerdict := f.packet.Relayed && f.packet.Relay.Verdict == relay.VerdictForward
	if hasVerdict || !mayOpen(f.packet.Kind) {
		return e.search(f)
	}
	first := f.owners.first
	if !first.self && f.packet.Relay.Hops < maxRedirects {
		return e.relayTo(f, first, 0, ReasonToOwner)
	}
	return e.openFlow(f)
}

// maxRedirects is the number of hops from which a host opens a flow even if it
// is not the first owner in its own view.
const maxRedirects = 3

// openFlow places a new flow. Its verdict is tentative until the second owner
// has seen it. A host that has yet to catch up with the release places no flows.
func (e *Engine) openFlow(f *flow) Decision {
	if !e.snap.Ready {
		return drop(ReasonNotReady)
	}
	v := e.decideNewFlow(f)
	if v.kind == relay.VerdictNone {
		return drop(v.reason)
	}
	r := e.addRecord(f, v)
	if target := e.snap.Targets[v.target]; target != nil {
		target.Counters.Openings.Add(1)
	}
	other := f.owners.otherOwner()
	if other == nil || e.settings.SingleOwner {
		if r != nil {
			r.clear(flagTentative)
		}
		return e.execute(f, v)
	}
	v.flags |= headerNew
	return e.relayWithHeader(f, other, v.header(relay.KindOpening), ReasonToSecond)
}

// handleWithRecord forwards a packet to the target in its flow's record. While
// the record is tentative, the packet goes through the other owner, which may
// overrule the target for this packet already.
func (e *Engine) handleWithRecord(f *flow, r *record) Decision {
	target := e.snap.Targets[r.target]
	if target == nil {
		return e.search(f)
	}
	if e.mayBeOpenedByCutOffHost(f, r) {
		return drop(ReasonCutOff)
	}
	if e.shouldMove(f, r, target) {
		return e.moveFlow(f, r, target)
	}
	midFlow := f.packet.Kind == KindData || f.packet.Kind == KindDatagram && r.phase == phaseOpen
	e.updateRecord(f, r, target)
	if e.checkSilent(f, r, target) {
		return e.resetSilent(r)
	}
	if r.refreshedAt < e.resumedAt {
		r.set(flagTentative)
	}
	viaOther := e.needsOtherOwner(f, r) && e.canRelay(f)
	var d Decision
	if viaOther {
		d = e.relayWithHeader(f, f.owners.otherOwner(), recordHeader(relay.KindOpening, r), ReasonToSecond)
	} else {
		d = e.forwardToEntry(r.service, target, ReasonNone)
	}
	if midFlow && e.confirmsVerdict(f) {
		r.clear(flagTentative)
	}
	e.copyIfMissing(f, r, &d)
	if viaOther {
		r.refreshedAt = e.tick
	}
	return d
}

// canRelay reports whether the packet can go through the other owner.
func (e *Engine) canRelay(f *flow) bool {
	if f.owners.otherOwner() == nil || e.settings.SingleOwner {
		return false
	}
	if !f.packet.Relayed {
		return true
	}
	hasVerdict := f.packet.Relay.Verdict == relay.VerdictForward
	return !hasVerdict && f.packet.Relay.Hops < relay.MaxHops
}

// needsOtherOwner reports whether the other owner has to see this packet: while
// the verdict is tentative, when the caller closes the flow, and periodically to
// keep the other owner's copy from expiring.
func (e *Engine) needsOtherOwner(f *flow, r *record) bool {
	if r.has(flagTentative) || f.packet.Kind == KindFIN || f.packet.Kind == KindRST {
		return true
	}
	interval := min(e.idleTimeout(f.routes.entry)/2, refreshInterval)
	return e.tick-r.refreshedAt > ticks(interval)
}

// refreshInterval is the longest time after which the next packet of a flow goes
// through the other owner.
const refreshInterval = 30 * time.Second

// confirmsVerdict reports whether a mid-flow packet confirms a tentative
// verdict. It does if neither the owners have changed nor this process has
// started within Settings.OwnerOverlap: both owners then had the same verdict.
func (e *Engine) confirmsVerdict(f *flow) bool {
	return !e.ownersChanged(f) && e.now.Sub(e.started) >= e.settings.OwnerOverlap
}

// ownersChanged reports whether the owners of the service's flows changed within
// Settings.OwnerOverlap.
func (e *Engine) ownersChanged(f *flow) bool {
	return f.routes.previous != nil && !e.now.After(f.routes.previousUntil)
}

// repeatRefusal answers a packet of a refused flow from the record.
func (e *Engine) repeatRefusal(f *flow, r *record) Decision {
	if !mayOpen(f.packet.Kind) {
		return drop(ReasonRefusedFlow)
	}
	remaining := retryDuration(r.retryAfter) - time.Duration(e.tick-r.lastSeen)*tickLength
	return refuse(r.reason, max(remaining, retryUnit))
}

// refuse returns the decision to refuse an opening.
func refuse(reason Reason, retryAfter time.Duration) Decision {
	return Decision{Action: ActionRefuse, Reason: reason, RetryAfter: retryAfter}
}

// execute returns the decision that carries out a verdict.
func (e *Engine) execute(f *flow, v flowVerdict) Decision {
	if v.kind == relay.VerdictRefuse {
		return refuse(v.reason, retryDuration(v.retryAfter))
	}
	return e.forward(f.routes.entry.Number, v.target, ReasonNone)
}

// updateRecord updates a record from a packet of its flow.
func (e *Engine) updateRecord(f *flow, r *record, target *state.TargetEntry) {
	r.lastSeen = e.tick
	e.updateFlowCount(f.owners.first.self, r, target)
	switch f.packet.Kind {
	case KindSYN:
		if r.has(flagFlowCounted) {
			target.Counters.Retransmits.Add(1)
		}
	case KindData, KindDatagram:
		e.markOpen(r, target)
	case KindFIN, KindRST:
		e.markClosing(r, target, f.packet.Kind)
	}
}

// markOpen updates the record's phase after a mid-flow packet.
func (e *Engine) markOpen(r *record, target *state.TargetEntry) {
	if r.phase == phaseOpening {
		r.phase = phaseOpen
		if r.has(flagFlowCounted) {
			target.Counters.Completed.Add(1)
		}
		return
	}
	if r.phase == phaseClosing && e.tick-r.refreshedAt > ticks(reopenAfter) {
		r.phase = phaseOpen
	}
}

// reopenAfter is the time after a FIN or RST from which a mid-flow packet shows
// that the flow continues.
const reopenAfter = 5 * time.Second

// markClosing records that the caller closed or reset the flow.
func (e *Engine) markClosing(r *record, target *state.TargetEntry, kind PacketKind) {
	if kind == KindRST && r.phase != phaseClosing && r.has(flagFlowCounted) {
		target.Counters.Resets.Add(1)
	}
	r.phase = phaseClosing
}
