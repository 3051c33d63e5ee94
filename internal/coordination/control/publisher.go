package control

import (
	"maps"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// snapshotInput holds the inputs of a snapshot other than target health.
type snapshotInput struct {
	release *state.Release
	view    state.MembershipView
	ready   bool
	leaving bool
}

// publisher builds the snapshots. Consecutive snapshots share the entries of
// unchanged services.
type publisher struct {
	self         state.Host
	entries      map[state.ServiceID]*state.ServiceEntry
	lastSnapshot *state.Snapshot
	// dirty is set if an entry has changed since lastSnapshot.
	dirty     bool
	adoptions adoptionHistory
	health    healthEvaluator
	// withdrawnAt holds the time when each withdrawn target was first seen as such.
	withdrawnAt map[state.TargetNumber]time.Time
	sweptAt     time.Time
}

func newPublisher(self state.Host) publisher {
	return publisher{
		self:        self,
		entries:     make(map[state.ServiceID]*state.ServiceEntry),
		health:      newHealthEvaluator(),
		withdrawnAt: make(map[state.TargetNumber]time.Time),
	}
}

// nextSnapshot returns a new snapshot, or nil if nothing has changed.
func (p *publisher) nextSnapshot(now time.Time, input snapshotInput) *state.Snapshot {
	p.sweep(now)
	if p.health.evaluate(now, p.entries) {
		p.dirty = true
	}
	if !p.changed(input) {
		return nil
	}
	p.dirty = false
	snapshot := &state.Snapshot{
		Self:     p.self,
		View:     input.view,
		Ready:    input.ready,
		Leaving:  input.leaving,
		Services: make(map[state.ServiceAddress]*state.ServiceEntry),
		Targets:  make(map[state.TargetNumber]*state.TargetEntry),
	}
	if input.release != nil {
		p.applyRelease(now, input.release)
		snapshot.Version = input.release.Version
		snapshot.Customers = input.release.Customers
	}
	p.indexEntries(snapshot, input.release)
	p.lastSnapshot = snapshot
	return snapshot
}

func (p *publisher) changed(input snapshotInput) bool {
	if p.lastSnapshot == nil || p.dirty {
		return true
	}
	inForce := state.ReleaseVersion(0)
	if input.release != nil {
		inForce = input.release.Version
	}
	return inForce != p.lastSnapshot.Version || input.view.Epoch != p.lastSnapshot.View.Epoch ||
		input.ready != p.lastSnapshot.Ready || input.leaving != p.lastSnapshot.Leaving
}

// indexEntries indexes the entries by service address and target number. If a
// service of the release and a withdrawn service have the same address, the address
// refers to the service of the release.
func (p *publisher) indexEntries(snapshot *state.Snapshot, release *state.Release) {
	for _, id := range slices.Sorted(maps.Keys(p.entries)) {
		entry := p.entries[id]
		for _, target := range entry.TargetEntries {
			snapshot.Targets[target.Number] = target
		}
		address := state.ServiceAddress{Protocol: entry.Protocol, Address: entry.Address}
		if _, taken := snapshot.Services[address]; !taken {
			snapshot.Services[address] = entry
		}
	}
	if release == nil {
		return
	}
	for _, service := range release.Services {
		address := state.ServiceAddress{Protocol: service.Protocol, Address: service.Address}
		snapshot.Services[address] = p.entries[service.ID]
	}
}
