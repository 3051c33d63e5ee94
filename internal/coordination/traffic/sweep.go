package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Factors by which a host keeps copies longer than the first owner keeps its
// record.
const (
	openCopyFactor    = 2
	openingCopyFactor = 3
)

// Sweep visits up to budget records, continuing where the last call stopped. It
// removes expired records and returns copies for owners that lack them after a
// change of owners.
func (e *Engine) Sweep(now time.Time, snap *state.Snapshot, budget int) []RecordMessage {
	e.beginCall(now, snap)
	var messages []RecordMessage
	for range min(budget, e.records.slotCount()) {
		if e.sweepCursor >= e.records.slotCount() {
			e.sweepCursor = 0
		}
		r := e.records.recordAt(e.sweepCursor)
		e.sweepCursor++
		if r == nil {
			continue
		}
		if e.expired(r) {
			e.removeRecord(r)
			continue
		}
		messages = e.appendCopies(messages, r, false)
	}
	return messages
}

// HandOverRecords visits up to budget records and returns copies of them for their
// current owners. done is true once all records were visited.
func (e *Engine) HandOverRecords(now time.Time, snap *state.Snapshot, budget int) (messages []RecordMessage, done bool) {
	e.beginCall(now, snap)
	for range budget {
		if e.handOverCursor >= e.records.slotCount() {
			return messages, true
		}
		r := e.records.recordAt(e.handOverCursor)
		e.handOverCursor++
		if r != nil {
			messages = e.appendCopies(messages, r, true)
		}
	}
	return messages, e.handOverCursor >= e.records.slotCount()
}

// appendCopies appends copies of a record for its owner pair if the pair has
// changed since the last copies or if always is set. Without always it skips
// openings that are still tentative: their own packets carry the copy.
func (e *Engine) appendCopies(messages []RecordMessage, r *record, always bool) []RecordMessage {
	entry := e.service(r.service)
	if entry == nil {
		return messages
	}
	o := e.routes(entry).owners(r.fingerprint)
	if o.first == nil {
		return messages
	}
	signature := o.signature()
	unconfirmed := r.phase == phaseOpening && r.has(flagTentative)
	if !always && (r.ownerSignature == signature || unconfirmed) {
		return messages
	}
	r.ownerSignature = signature
	if target := e.snap.Targets[r.target]; target != nil {
		e.updateFlowCount(o.first.self, r, target)
	}
	h := recordHeader(relay.KindRecord, r)
	for _, owner := range [...]*ownerCandidate{o.first, o.second} {
		if owner != nil && !owner.self {
			messages = append(messages, RecordMessage{To: owner.id, Header: h})
		}
	}
	return messages
}

// expired reports whether a record's flow has been idle for its timeout.
func (e *Engine) expired(r *record) bool {
	idle := e.tick - r.lastSeen
	if idle > maxIdle {
		return false
	}
	return idle > ticks(e.timeout(r))
}

// maxIdle is larger than any idle time. A difference above it means that the
// record was last seen after the current time.
const maxIdle = 1 << 31

// timeout returns the idle time after which a record expires.
func (e *Engine) timeout(r *record) time.Duration {
	switch r.phase {
	case phaseRefused:
		return retryDuration(r.retryAfter)
	case phaseOpening:
		return e.copyTimeout(r, e.settings.OpeningTimeout, openingCopyFactor)
	case phaseClosing:
		return e.settings.ClosingTimeout
	}
	return e.copyTimeout(r, e.idleTimeout(e.service(r.service)), openCopyFactor)
}

// copyTimeout lengthens a timeout for records of which this host is not the
// first owner: only the first owner sees every packet.
func (e *Engine) copyTimeout(r *record, timeout time.Duration, factor time.Duration) time.Duration {
	if r.has(flagFlowCounted) {
		return timeout
	}
	return timeout * factor
}

// idleTimeout returns the idle timeout of a service, which may be nil.
func (e *Engine) idleTimeout(entry *state.ServiceEntry) time.Duration {
	if entry == nil || entry.IdleTimeout == 0 {
		return e.settings.IdleTimeout
	}
	return entry.IdleTimeout
}
