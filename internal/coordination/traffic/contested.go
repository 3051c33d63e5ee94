package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// ownerCaution is how long after a change of owners a host does not rely on
// holding every record that it should hold.
const ownerCaution = 30 * time.Second

// direct decides about a packet that the lookup tables alone can place; ok is
// false when the packet has to go through the flow's owner.
func (e *Engine) direct(entry *state.ServiceEntry, p *Packet) (d Decision, ok bool) {
	if opens(p.Kind) || p.Relayed || !e.knowsTables(entry) {
		return Decision{}, false
	}
	number := agreedTarget(entry, p.Fingerprint.Low)
	if number == 0 {
		return Decision{}, false
	}
	return e.forward(entry.Number, number, ReasonNone), true
}

// agreedTarget returns the target that all retained tables give a hash; 0 if
// they differ or a table that may matter was dropped.
func agreedTarget(entry *state.ServiceEntry, hash uint64) state.TargetNumber {
	if entry.Truncated {
		return 0
	}
	number := entry.Tables[0].Lookup(hash)
	for _, table := range entry.Tables[1:] {
		if table.Lookup(hash) != number {
			return 0
		}
	}
	return number
}

// knowsTables reports whether this host has been up for so long that it holds
// the records of the flows that it owns.
func (e *Engine) knowsTables(entry *state.ServiceEntry) bool {
	return e.now.Sub(e.started) >= e.idleTimeout(entry)
}

// belongsToBase reports whether a flow without a record here can only have been
// opened under the base table: this host is one of its owners and has been for
// long enough to hold the records of all other flows.
func (e *Engine) belongsToBase(f *flow) bool {
	entry := f.routes.entry
	if entry.Way != state.WayContested || entry.Truncated || !e.knowsTables(entry) {
		return false
	}
	owner := f.owners.first.self || f.owners.second != nil && f.owners.second.self
	return owner && e.now.Sub(f.owners.home.changed) >= ownerCaution && !e.ownersChanged(f)
}

// byBase forwards a packet in mid-flow to the base table's target. The first
// owner keeps a record of it, so that the flow survives the base table.
func (e *Engine) byBase(f *flow) Decision {
	tables := f.routes.entry.Tables
	number := tables[len(tables)-1].Lookup(f.packet.Fingerprint.Low)
	if number == 0 {
		return drop(ReasonNoTarget)
	}
	v := forwardTo(number)
	v.flags = headerOpen
	d := e.forward(f.routes.entry.Number, number, ReasonBase)
	r := e.keep(f, v)
	if r != nil && !f.owners.first.self {
		d.notify(f.owners.first, recordHeader(relay.KindRecord, r))
	}
	return d
}

// placeByHash returns the table's target if it may have a new flow; nil and the
// reason otherwise. While other hosts may lack the newest table, the one before
// it decides: they still send the flow's packets there directly.
func (e *Engine) placeByHash(f *flow) (*state.TargetEntry, Reason) {
	tables := f.routes.entry.Tables
	hash := f.packet.Fingerprint.Low
	if e.now.Before(f.routes.tableSettles) && len(tables) > 1 {
		target := e.snap.Targets[tables[1].Lookup(hash)]
		if target != nil && !target.Ejected && e.belowLimit(f, target) {
			return target, ReasonNone
		}
	}
	target := e.snap.Targets[tables[0].Lookup(hash)]
	if target == nil || !usable(target) {
		return nil, ReasonNoTarget
	}
	if !e.belowLimit(f, target) {
		return nil, ReasonConnectionLimit
	}
	return target, ReasonNone
}

// tableGrace is how long a new table version waits until it places flows under
// WayContested; it is below the time in which leaving targets get no new flow.
const tableGrace = 2 * time.Second
