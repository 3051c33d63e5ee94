package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// recordHeader returns a relay header of the given kind with a record's verdict.
func recordHeader(kind relay.Kind, r *record) relay.Header {
	h := verdictFromRecord(r).header(kind)
	h.Service = r.service
	h.Fingerprint = r.fingerprint
	return h
}

// copyIfMissing copies the record to owners that lack it: after a change of the
// owner pair, and when the packet had to be searched for because they had no
// record.
func (e *Engine) copyIfMissing(f *flow, r *record, d *Decision) {
	searched := f.packet.Relayed && f.packet.Relay.Hops > 1
	copiedRecently := e.tick-r.refreshedAt < ticks(minCopyInterval)
	if r.ownerSignature == f.owners.signature() && (!searched || copiedRecently) {
		return
	}
	e.copyToOwners(f, r, d)
}

// minCopyInterval is the shortest time between two copies of a record that are
// caused by searches.
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

// HandleRecord handles a record message from another host.
func (e *Engine) HandleRecord(now time.Time, snap *state.Snapshot, h relay.Header) {
	e.beginCall(now, snap)
	switch h.Kind {
	case relay.KindConfirm:
		e.applyConfirm(h)
	case relay.KindRecord:
		e.applyRecord(h)
	}
}

// applyConfirm replaces a tentative verdict by the one that another owner holds.
// Without a tentative record it does the same as applyRecord.
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

// applyRecord merges a copy of a record into the records of this host.
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

// insertCopy adds a copy of a record. Its sender has sent it to both owners.
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
