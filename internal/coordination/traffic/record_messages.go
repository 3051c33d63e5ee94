package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// recordHeader writes what a record says into a header of a kind.
func recordHeader(kind relay.Kind, r *record) relay.Header {
	h := verdictFromRecord(r).header(kind)
	h.Service = r.service
	h.Fingerprint = r.fingerprint
	return h
}

// copyIfMissing copies the record to owners that lack it: after a change of the owner
// pair, and when the packet was searched for because they had no record.
func (e *Engine) copyIfMissing(f *flow, r *record, d *Decision) {
	searched := f.packet.Relayed && f.packet.Relay.Hops > 1
	copiedRecently := e.tick-r.refreshedAt < ticks(minCopyInterval)
	if r.ownerSignature == f.owners.signature() && (!searched || copiedRecently) {
		return
	}
	e.copyToOwners(f, r, d)
}

// minCopyInterval is the least time between two copies of a record that are
// caused by packets searching for it.
const minCopyInterval = time.Second

// copyToOwners copies the record to the current owner pair.
func (e *Engine) copyToOwners(f *flow, r *record, d *Decision) {
	r.ownerSignature = f.owners.signature()
	r.refreshedAt = e.tick
	h := recordHeader(relay.KindRecord, r)
	for _, owner := range [...]*ownerCandidate{f.owners.first, f.owners.second} {
		if owner != nil && !owner.self {
			d.addMessage(owner, h)
		}
	}
}

// HandleRecord takes a message about a flow record from another entry host.
func (e *Engine) HandleRecord(now time.Time, snap *state.Snapshot, h relay.Header) {
	e.beginCall(now, snap)
	switch h.Kind {
	case relay.KindConfirm:
		e.applyConfirm(h)
	case relay.KindRecord:
		e.applyRecord(h)
	}
}

// applyConfirm takes the verdict of an owner that knew more than this one.
func (e *Engine) applyConfirm(h relay.Header) {
	v := verdictFromHeader(h)
	v.flags &^= headerTentative
	r := e.records.find(h.Fingerprint)
	if r != nil && r.service == h.Service && r.has(flagTentative) && v.kind != relay.VerdictNone {
		e.applyVerdict(r, v)
		r.lastSeen = e.tick
		return
	}
	e.applyRecord(h)
}

// applyRecord takes a copy of a record.
func (e *Engine) applyRecord(h relay.Header) {
	v := verdictFromHeader(h)
	if v.kind == relay.VerdictNone {
		return
	}
	r := e.records.find(h.Fingerprint)
	if r == nil {
		e.insertCopy(h, v)
		return
	}
	if r.service != h.Service {
		return
	}
	if v.overrides(r) {
		e.applyVerdict(r, v)
	}
	if v.matches(r) {
		r.lastSeen = e.tick
		r.phase = max(r.phase, v.phase())
	}
}

// insertCopy records what another owner holds, which sent it to both owners.
func (e *Engine) insertCopy(h relay.Header, v flowVerdict) {
	r := e.insertRecord(h.Fingerprint, h.Service, v)
	entry := e.service(h.Service)
	if r == nil || entry == nil {
		return
	}
	o := e.routes(entry).owners(h.Fingerprint)
	if o.first == nil {
		return
	}
	r.ownerSignature = o.signature()
	r.refreshedAt = e.tick
	if target := e.snap.Targets[r.target]; target != nil {
		e.updateFlowCount(o.first.self, r, target)
	}
}
