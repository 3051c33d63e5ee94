package catalog

import (
	"maps"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// domainDrains holds which failure domains the operator drains: none of their targets gets
// a new flow.
type domainDrains struct {
	// drained are the drained domains.
	drained map[state.DomainID]bool
	// listed reports whether the complete list of drains has been read at least once.
	listed bool
	// missing are the drains that a list lacks since the store was restored from a backup.
	// They stand until doubtUntil, for the operator to write them again.
	missing    map[state.DomainID]bool
	doubtUntil time.Duration
}

func newDomainDrains() domainDrains {
	return domainDrains{drained: make(map[state.DomainID]bool), missing: make(map[state.DomainID]bool)}
}

// Drain puts a drain in force and reports whether it was not in force before.
func (d *Directory) Drain(domain state.DomainID) bool {
	s := &d.drains
	delete(s.missing, domain)
	if s.drained[domain] {
		return false
	}
	s.drained[domain] = true
	return true
}

// RemoveDrain ends a drain and reports whether it was in force.
func (d *Directory) RemoveDrain(now time.Duration, domain state.DomainID) bool {
	s := &d.drains
	delete(s.missing, domain)
	if !s.drained[domain] {
		return false
	}
	delete(s.drained, domain)
	d.returnedAt[domain] = now
	return true
}

// ListDrains replaces the drains by those of a complete list and reports whether any
// changed. If restored is set, the store was restored from a backup: a drain that the list lacks
// stands until RestoreDoubt has passed. One that it has is in force even if it had been removed,
// since the operator may have drained the domain again.
func (d *Directory) ListDrains(now time.Duration, listed map[state.DomainID]bool, restored bool) bool {
	s := &d.drains
	changed := !s.listed
	s.listed = true
	if restored {
		s.doubtUntil = now + d.settings.RestoreDoubt
	}
	for domain := range listed {
		changed = d.Drain(domain) || changed
	}
	for domain := range s.drained {
		switch {
		case listed[domain]:
		case restored:
			s.missing[domain] = true
		default:
			changed = d.RemoveDrain(now, domain) || changed
		}
	}
	return changed
}

// settleDrains ends the drains that the store still lacks at the end of the doubt that follows
// a restore. It returns when that is, 0 if there are none.
func (d *Directory) settleDrains(now time.Duration) (next time.Duration) {
	s := &d.drains
	if len(s.missing) == 0 {
		return 0
	}
	if now < s.doubtUntil {
		return s.doubtUntil
	}
	for domain := range maps.Clone(s.missing) {
		d.RemoveDrain(now, domain)
	}
	return 0
}

// drainsKnown reports whether the drains are known, or no longer waited for.
func (d *Directory) drainsKnown(now time.Duration) bool {
	return d.drains.listed || now >= d.settings.AwaitDrains
}
