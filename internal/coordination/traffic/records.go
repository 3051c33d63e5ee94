package traffic

import (
	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Shares of the table in thousandths of MaxRecords. New flows are refused before
// the table is full, which leaves room for copies of open flows. Refusals have
// a small share of their own, so that they take no room from flows.
const (
	openingShareMilli = 900
	refusalShareMilli = 50
)

// flowRecords returns the number of records that are not refusals.
func (e *Engine) flowRecords() int { return e.records.count - e.refusals }

// recordLimit returns the number of records in a share of the table.
func (e *Engine) recordLimit(shareMilli int) int {
	return e.settings.MaxRecords * shareMilli / 1000
}

// addRecord adds a record with a verdict for the packet's flow, which has none.
// It returns nil if the table is full.
func (e *Engine) addRecord(f *flow, v flowVerdict) *record {
	r := e.insertRecord(f.packet.Fingerprint, f.routes.entry.Number, v)
	if r == nil {
		return nil
	}
	r.ownerSignature = f.owners.signature()
	r.refreshedAt = e.tick
	if target := e.snap.Targets[r.target]; target != nil {
		e.updateFlowCount(f.owners.first.self, r, target)
	}
	return r
}

// insertRecord adds a record with a verdict. It returns nil if the table or, for
// a refusal, the share of refusals is full.
func (e *Engine) insertRecord(fp state.Fingerprint, service state.ServiceNumber, v flowVerdict) *record {
	if v.kind == relay.VerdictRefuse && e.refusals >= e.recordLimit(refusalShareMilli) {
		return nil
	}
	r := e.records.insert(fp)
	if r == nil {
		return nil
	}
	r.service = service
	r.lastSeen = e.tick
	e.applyVerdict(r, v)
	return r
}

// applyVerdict writes a verdict into a record.
func (e *Engine) applyVerdict(r *record, v flowVerdict) {
	e.setTarget(r, v.target)
	r.reason = v.reason
	r.retryAfter = v.retryAfter
	e.setPhase(r, v.phase())
	r.clear(flagTentative | flagFallback)
	if v.has(headerTentative) {
		r.set(flagTentative)
	}
	if v.has(headerFallback) {
		r.set(flagFallback)
	}
}

// setTarget changes the record's target and updates the counters of both
// targets.
func (e *Engine) setTarget(r *record, number state.TargetNumber) {
	if r.target == number {
		return
	}
	e.clearCounts(r)
	r.target = number
	if target := e.snap.Targets[number]; target != nil {
		target.Counters.FlowRecords.Add(1)
		r.set(flagRecordCounted)
	}
}

// updateFlowCount counts the flow as open at its target if this host is its
// first owner, and stops counting it if it is not.
func (e *Engine) updateFlowCount(owned bool, r *record, target *state.TargetEntry) {
	if !r.has(flagRecordCounted) {
		target.Counters.FlowRecords.Add(1)
		r.set(flagRecordCounted)
	}
	if owned == r.has(flagFlowCounted) {
		return
	}
	if owned {
		target.Counters.OpenFlows.Add(1)
		e.customers.openFlows[r.service]++
		r.set(flagFlowCounted)
		return
	}
	target.Counters.OpenFlows.Add(-1)
	e.customers.openFlows[r.service]--
	r.clear(flagFlowCounted)
}

// clearCounts removes the record from its target's counters.
func (e *Engine) clearCounts(r *record) {
	target := e.snap.Targets[r.target]
	if r.has(flagFlowCounted) {
		e.customers.openFlows[r.service]--
	}
	if target == nil {
		r.clear(flagFlowCounted | flagRecordCounted)
		return
	}
	if r.has(flagFlowCounted) {
		target.Counters.OpenFlows.Add(-1)
	}
	if r.has(flagRecordCounted) {
		target.Counters.FlowRecords.Add(-1)
	}
	r.clear(flagFlowCounted | flagRecordCounted)
}

// setPhase changes the record's phase and updates the number of refusals.
func (e *Engine) setPhase(r *record, p phase) {
	if !r.hasTarget() {
		e.refusals--
	}
	r.phase = p
	if !r.hasTarget() {
		e.refusals++
	}
}

// removeRecord deletes a record and updates the counters.
func (e *Engine) removeRecord(r *record) {
	e.setPhase(r, phaseClosing)
	e.clearCounts(r)
	e.records.remove(r.fingerprint)
}

// replaceable reports whether an opening starts a new flow although the flow
// has a record: the flow was closed, or it has not opened and its target is
// leaving.
func (e *Engine) replaceable(r *record) bool {
	return r.phase == phaseClosing || r.phase == phaseOpening && e.isLeaving(r.target)
}
