package traffic

import (
	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Parts of the table, in thousandths of MaxRecords. Openings stop first, so
// that copies of open flows find room; refusals have a part of their own, so
// that they take no room from flows.
const (
	openingShareMilli = 900
	refusalShareMilli = 50
)

// flows returns the number of records that are not refusals.
func (e *Engine) flows() int { return e.records.count - e.refusals }

// limit returns the number of records up to which a share may fill the table.
func (e *Engine) limit(shareMilli int) int {
	return e.settings.MaxRecords * shareMilli / 1000
}

// keep records a verdict about the packet's flow, which has no record; nil when
// the table is full.
func (e *Engine) keep(f *flow, v flowVerdict) *record {
	r := e.insert(f.packet.Fingerprint, f.routes.entry.Number, v)
	if r == nil {
		return nil
	}
	r.pair = f.owners.signature()
	r.refreshed = e.tick
	if target := e.snap.Targets[r.target]; target != nil {
		e.count(f.owners.first.self, r, target)
	}
	return r
}

// insert adds a record with a verdict; nil when the table is full.
func (e *Engine) insert(fp state.Fingerprint, service state.ServiceNumber, v flowVerdict) *record {
	if v.kind == relay.VerdictRefuse && e.refusals >= e.limit(refusalShareMilli) {
		return nil
	}
	r := e.records.insert(fp)
	if r == nil {
		return nil
	}
	r.service = service
	r.seen = e.tick
	e.adopt(r, v)
	return r
}

// adopt writes a verdict into a record.
func (e *Engine) adopt(r *record, v flowVerdict) {
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

// setTarget changes the record's target and the counters of both.
func (e *Engine) setTarget(r *record, number state.TargetNumber) {
	if r.target == number {
		return
	}
	e.uncount(r)
	r.target = number
	if target := e.snap.Targets[number]; target != nil {
		target.Load.Records.Add(1)
		r.set(flagNamed)
	}
}

// count counts a flow as open at its target while this host owns it first.
func (e *Engine) count(owned bool, r *record, target *state.TargetEntry) {
	if !r.has(flagNamed) {
		target.Load.Records.Add(1)
		r.set(flagNamed)
	}
	if owned == r.has(flagCounted) {
		return
	}
	if owned {
		target.Load.OpenFlows.Add(1)
		e.customers.open[r.service]++
		r.set(flagCounted)
		return
	}
	target.Load.OpenFlows.Add(-1)
	e.customers.open[r.service]--
	r.clear(flagCounted)
}

// uncount takes the record out of its target's counters.
func (e *Engine) uncount(r *record) {
	target := e.snap.Targets[r.target]
	if r.has(flagCounted) {
		e.customers.open[r.service]--
	}
	if target == nil {
		r.clear(flagCounted | flagNamed)
		return
	}
	if r.has(flagCounted) {
		target.Load.OpenFlows.Add(-1)
	}
	if r.has(flagNamed) {
		target.Load.Records.Add(-1)
	}
	r.clear(flagCounted | flagNamed)
}

// setPhase changes the record's phase and counts the refusals.
func (e *Engine) setPhase(r *record, p phase) {
	if !r.forwards() {
		e.refusals--
	}
	r.phase = p
	if !r.forwards() {
		e.refusals++
	}
}

// remove deletes a record.
func (e *Engine) remove(r *record) {
	e.setPhase(r, phaseClosing)
	e.uncount(r)
	e.records.remove(r.fingerprint)
}

// replaceable reports whether an opening starts a new flow although there is a
// record: the flow was closed, or it has not opened and its target is leaving.
func (e *Engine) replaceable(r *record) bool {
	return r.phase == phaseClosing || r.phase == phaseOpening && e.isLeaving(r.target)
}
