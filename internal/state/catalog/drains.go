package catalog

import (
	"maps"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// removedDrainRetention is how long a removed drain is remembered, so that a backup of the
// store does not put it in force again.
const removedDrainRetention = time.Minute

// domainDrains holds which failure domains the operator drains: none of their targets gets
// a new flow.
type domainDrains struct {
	// drained are the drained domains.
	drained map[state.DomainID]bool
	// removedAt holds when a drain was removed.
	removedAt map[state.DomainID]time.Duration
	// listed reports whether the complete list of drains has been read at least once.
	listed bool
	// doubtUntil is the end of the time after a restore of the store during which a list may
	// be older than what is known. Until then missing are the drains that the list lacks, and
	// heldBack those that it has although they had been removed.
	doubtUntil time.Duration
	missing    map[state.DomainID]bool
	heldBack   map[state.DomainID]bool
}

func newDomainDrains() domainDrains {
	return domainDrains{
		drained:   make(map[state.DomainID]bool),
		removedAt: make(map[state.DomainID]time.Duration),
		missing:   make(map[state.DomainID]bool),
		heldBack:  make(map[state.DomainID]bool),
	}
}

// Drain puts a drain in force and reports whether it was not in force before.
func (d *Directory) Drain(domain state.DomainID) bool {
	s := &d.drains
	delete(s.missing, domain)
	delete(s.heldBack, domain)
	delete(s.removedAt, domain)
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
	delete(s.heldBack, domain)
	if !s.drained[domain] {
		return false
	}
	delete(s.drained, domain)
	s.removedAt[domain] = now
	d.returnedAt[domain] = now
	return true
}

// ListDrains replaces the drains by those of a complete list and reports whether any
// changed. If restored is set, the store was restored from a backup: what the list and the
// known drains disagree about stays as it is until RestoreDoubt has passed.
func (d *Directory) ListDrains(now time.Duration, listed map[state.DomainID]bool, restored bool) bool {
	s := &d.drains
	changed := !s.listed
	s.listed = true
	if restored {
		s.doubtUntil = now + d.settings.RestoreDoubt
	}
	for domain := range listed {
		if restored && s.recentlyRemoved(now, domain) {
			s.heldBack[domain] = true
			continue
		}
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

// recentlyRemoved reports whether a drain was in force and has been removed.
func (s *domainDrains) recentlyRemoved(now time.Duration, domain state.DomainID) bool {
	removedAt, known := s.removedAt[domain]
	return known && now-removedAt < removedDrainRetention && !s.drained[domain]
}

// settleDrains takes over what the store still says at the end of the doubt that follows
// a restore. It returns when that is, 0 if there is nothing to settle.
func (d *Directory) settleDrains(now time.Duration) (next time.Duration) {
	s := &d.drains
	if len(s.missing)+len(s.heldBack) == 0 {
		return 0
	}
	if now < s.doubtUntil {
		return s.doubtUntil
	}
	for domain := range maps.Clone(s.missing) {
		d.RemoveDrain(now, domain)
	}
	for domain := range maps.Clone(s.heldBack) {
		d.Drain(domain)
	}
	return 0
}

// drainsKnown reports whether the drains are known, or no longer waited for.
func (d *Directory) drainsKnown(now time.Duration) bool {
	return d.drains.listed || now >= d.settings.AwaitDrains
}
