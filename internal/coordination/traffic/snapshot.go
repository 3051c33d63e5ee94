package traffic

import (
	"net/netip"
	"slices"

	"github.com/guavawharf/guavawharf/internal/state"
)

// applySnapshot makes a new snapshot the current one and derives the engine's
// indexes from it.
func (e *Engine) applySnapshot(snap *state.Snapshot) {
	sameView := e.snap != nil && e.snap.View.Epoch == snap.View.Epoch && e.snap.Leaving == snap.Leaving
	e.snap = snap
	e.addressReused = reusedAddresses(snap)
	clear(e.entriesByNumber)
	for address, entry := range snap.Services {
		e.entriesByNumber[entry.Number] = entry
		e.trackAddress(address, entry.Number)
	}
	if !sameView {
		e.view = newViewIndex(e.now, snap, e.view)
	}
}

// trackAddress records which service has an address, and marks the service if
// the address was another service's before.
func (e *Engine) trackAddress(address state.ServiceAddress, number state.ServiceNumber) {
	previous, known := e.addressHolders[address]
	if known && previous == number {
		return
	}
	e.addressHolders[address] = number
	if known {
		e.inheritedAddress[number] = true
	}
}

// service returns the entry of a service, or nil if the release has none.
func (e *Engine) service(number state.ServiceNumber) *state.ServiceEntry {
	return e.entriesByNumber[number]
}

// routes returns the routes of a service under the current view. The routes
// before a change of owners stay available for Settings.OwnerOverlap.
func (e *Engine) routes(entry *state.ServiceEntry) *serviceRoutes {
	old := e.routeCache[entry.Number]
	if old != nil && old.entry == entry && old.view == e.view {
		return old
	}
	r := newServiceRoutes(entry, e.view)
	e.routeCache[entry.Number] = r
	if old == nil {
		return r
	}
	r.previous = old.previous
	r.previousUntil = old.previousUntil
	if old.view != e.view || !slices.Equal(old.ownerWeights, r.ownerWeights) {
		old.previous = nil
		r.previous = old
		r.previousUntil = e.now.Add(e.settings.OwnerOverlap)
	}
	return r
}

// previousOwner returns the flow's first owner before a recent change of owners.
// It is nil if there was no change, if that host has left the view, or if it is
// this host or in the current owner pair.
func (e *Engine) previousOwner(f *flow) *ownerCandidate {
	if !e.ownersChanged(f) {
		return nil
	}
	previous := f.routes.previous.owners(f.packet.Fingerprint)
	if previous.first == nil || previous.first.self {
		return nil
	}
	owner := e.view.host(previous.first.id)
	if owner == nil || owner == f.owners.first || owner == f.owners.second {
		return nil
	}
	return owner
}

// settled reports whether this host may refuse flows of a home domain or fall
// back for them: neither its process nor its view of the domain is new.
func (e *Engine) settled(home *domainCandidates) bool {
	if e.now.Sub(e.started) < e.settings.SettleTime {
		return false
	}
	return e.now.Sub(home.changedAt) >= e.settings.SettleTime
}

// reusedAddresses returns the withdrawn targets whose address now belongs to a
// target of another service. It is nil if no target is withdrawn.
func reusedAddresses(snap *state.Snapshot) map[state.TargetNumber]bool {
	var current map[netip.AddrPort]state.ServiceNumber
	for _, target := range snap.Targets {
		if !target.Withdrawn {
			continue
		}
		if current == nil {
			current = make(map[netip.AddrPort]state.ServiceNumber)
		}
		current[target.Address] = target.Service
	}
	if current == nil {
		return nil
	}
	for _, target := range snap.Targets {
		if _, tracked := current[target.Address]; tracked && !target.Withdrawn {
			current[target.Address] = target.Service
		}
	}
	reused := make(map[state.TargetNumber]bool)
	for _, target := range snap.Targets {
		if target.Withdrawn && current[target.Address] != target.Service {
			reused[target.Number] = true
		}
	}
	return reused
}
