package control

import (
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/lookup"
)

// Times for which old state stays in the snapshots.
const (
	// WithdrawnRetention is how long a withdrawn target stays although this host
	// holds no record of it: records may still come from other hosts.
	WithdrawnRetention = time.Hour
	// tableRetentionMargin is added to a service's idle timeout before old table versions
	// are dropped.
	tableRetentionMargin = 10 * time.Second
	// sweepInterval is the time between two looks for what may be dropped.
	sweepInterval = 5 * time.Second
)

// adoption is when this host adopted a release.
type adoption struct {
	version state.ReleaseVersion
	at      time.Time
}

// adoptionHistory lists the adopted releases, oldest first.
type adoptionHistory []adoption

// newestInForceFor returns the newest release that has been in force for a time.
func (h adoptionHistory) newestInForceFor(now time.Time, age time.Duration) state.ReleaseVersion {
	base := state.ReleaseVersion(0)
	for _, entry := range h {
		if now.Sub(entry.at) >= age {
			base = entry.version
		}
	}
	return base
}

// applyRelease brings the entries to a release. A withdrawn service stays, without
// targets of its own, while flows may be open.
func (p *publisher) applyRelease(now time.Time, release *state.Release) {
	if len(p.adoptions) > 0 && p.adoptions[len(p.adoptions)-1].version == release.Version {
		return
	}
	p.adoptions = append(p.adoptions, adoption{release.Version, now})
	if len(p.adoptions) > lookup.MaxTables {
		p.adoptions = slices.Delete(p.adoptions, 0, 1)
	}
	present := make(map[state.ServiceID]bool, len(release.Services))
	for _, service := range release.Services {
		present[service.ID] = true
		p.updateEntry(now, service, release.Version)
	}
	for id, entry := range p.entries {
		if !present[id] && len(entry.Targets) > 0 {
			withdrawn := entry.Service
			withdrawn.Targets = nil
			p.updateEntry(now, withdrawn, release.Version)
		}
	}
}

// updateEntry brings the entry of one service to a release and keeps the targets
// that have just been withdrawn.
func (p *publisher) updateEntry(now time.Time, service state.Service, version state.ReleaseVersion) {
	previous := p.entries[service.ID]
	next := p.health.withHealth(lookup.NextEntry(previous, service, version))
	p.entries[service.ID] = next
	if previous == nil || next == previous {
		return
	}
	for _, old := range previous.TargetEntries {
		if index := targetIndex(next.TargetEntries, old.Number); index >= 0 {
			p.recordWithdrawal(now, next.TargetEntries[index])
			continue
		}
		withdrawn := *old
		withdrawn.Withdrawn = true
		next.TargetEntries = append(next.TargetEntries, &withdrawn)
		p.recordWithdrawal(now, &withdrawn)
	}
}

// recordWithdrawal remembers when a target was withdrawn.
func (p *publisher) recordWithdrawal(now time.Time, entry *state.TargetEntry) {
	if _, known := p.withdrawnAt[entry.Number]; entry.Withdrawn && !known {
		p.withdrawnAt[entry.Number] = now
	}
}

func targetIndex(entries []*state.TargetEntry, number state.TargetNumber) int {
	return slices.IndexFunc(entries, func(entry *state.TargetEntry) bool { return entry.Number == number })
}

// sweep drops withdrawn targets that nothing refers to any more, and old table
// versions.
func (p *publisher) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for id, entry := range p.entries {
		next := p.withoutExpired(now, entry)
		if next.IdleTimeout > 0 {
			next = lookup.DropOldTables(next, p.adoptions.newestInForceFor(now, next.IdleTimeout+tableRetentionMargin))
		}
		if next == entry {
			continue
		}
		p.dirty = true
		p.entries[id] = next
		if len(next.TargetEntries) == 0 {
			delete(p.entries, id)
		}
	}
}

// withoutExpired returns the entry without withdrawn targets whose time is up.
func (p *publisher) withoutExpired(now time.Time, entry *state.ServiceEntry) *state.ServiceEntry {
	expired := func(target *state.TargetEntry) bool {
		retained := now.Sub(p.withdrawnAt[target.Number]) <= WithdrawnRetention
		return target.Withdrawn && !retained && target.Counters.FlowRecords.Load() == 0
	}
	if !slices.ContainsFunc(entry.TargetEntries, expired) {
		return entry
	}
	next := *entry
	next.TargetEntries = nil
	for _, target := range entry.TargetEntries {
		if expired(target) {
			delete(p.withdrawnAt, target.Number)
			p.health.removeTarget(target.Number)
			continue
		}
		next.TargetEntries = append(next.TargetEntries, target)
	}
	return &next
}
