package control

import (
	"maps"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// publishInput is what a snapshot is made of besides the targets' health.
type publishInput struct {
	release *state.Release
	view    state.MembershipView
	ready   bool
	leaving bool
}

// publisher makes the snapshots. Entries of services that have not changed pass
// from one snapshot to the next.
type publisher struct {
	self    state.Host
	entries map[state.ServiceID]*state.ServiceEntry
	last    *state.Snapshot
	dirty   bool
	history history
	health   healthEvaluator
	// withdrawn holds when each withdrawn target was withdrawn.
	withdrawn map[state.TargetNumber]time.Time
	swept     time.Time
}

func newPublisher(self state.Host) publisher {
	return publisher{
		self:      self,
		entries:   make(map[state.ServiceID]*state.ServiceEntry),
		health:     newHealthEvaluator(),
		withdrawn: make(map[state.TargetNumber]time.Time),
	}
}

// next returns a new snapshot, or nil when nothing has changed.
func (p *publisher) next(now time.Time, input publishInput) *state.Snapshot {
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
		p.carry(now, input.release)
		snapshot.Version = input.release.Version
		snapshot.Customers = input.release.Customers
	}
	p.fill(snapshot, input.release)
	p.last = snapshot
	return snapshot
}

func (p *publisher) changed(input publishInput) bool {
	if p.last == nil || p.dirty {
		return true
	}
	version := state.ReleaseVersion(0)
	if input.release != nil {
		version = input.release.Version
	}
	return version != p.last.Version || input.view.Epoch != p.last.View.Epoch ||
		input.ready != p.last.Ready || input.leaving != p.last.Leaving
}

// fill indexes the entries by address and target number. A present service
// takes its address from a withdrawn one.
func (p *publisher) fill(snapshot *state.Snapshot, release *state.Release) {
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
