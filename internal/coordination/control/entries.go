package control

import (
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/lookup"
)

// Retention of old state in the snapshots.
const (
	// WithdrawnRetention is how long a withdrawn target without flow records on this
	// host is retained, because other hosts may still send records for it.
	WithdrawnRetention = time.Hour
	// tableRetentionMargin is added to a service's idle timeout to get the time after
	// which table versions of older releases are dropped.
	tableRetentionMargin = 10 * time.Second
	// sweepInterval is the time between two sweeps for expired state.
	sweepInterval = 5 * time.Second
)

// adoption records when this host adopted a release.
type adoption struct {
	version state.ReleaseVersion
	at      time.Time
}

// adoptionHistory holds the latest adoptions, oldest first.
type adoptionHistory []adoption

// newestInForceFor returns the newest release adopted at least age ago, 0 if there
// is none.
func (h adoptionHistory) newestInForceFor(now time.Time, age time.Duration) state.ReleaseVersion {
	newest := state.ReleaseVersion(0)
	for _, adoption := range h {
		if now.Sub(adoption.at) >= age {
			newest = adoption.version
		}
	}
	return newest
}

// applyRelease updates the entries to a release. The entry of a withdrawn service
// is retained with all its targets withdrawn, because flows may still be open.
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

// updateEntry updates the entry of a service to a release. Targets that the release
// no longer has are retained and marked as withdrawn.
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

// recordWithdrawal records the time when a target is first seen as withdrawn.
func (p *publisher) recordWithdrawal(now time.Time, entry *state.TargetEntry) {
	if _, known := p.withdrawnAt[entry.Number]; entry.Withdrawn && !known {
		p.withdrawnAt[entry.Number] = now
	}
}

func targetIndex(entries []*state.TargetEntry, number state.TargetNumber) int {
	return slices.IndexFunc(entries, func(entry *state.TargetEntry) bool { return entry.Number == number })
}

// sweep drops expired withdrawn targets, table versions that no open flow needs and
// entries without targets.
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

// withoutExpired returns the entry without its expired targets, or entry itself if
// there are none. A withdrawn target expires after WithdrawnRetention if this host
// has no flow records of it.
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
