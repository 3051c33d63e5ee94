package lookup

import "github.com/guavawharf/guavawharf/internal/state"

// Health is the health of one target as package health assesses it.
type Health struct {
	Ejected bool
	// ShareMilli scales the target's share of new flows, in thousandths.
	ShareMilli uint32
	// Leaving reports whether the target asked to be drained.
	Leaving bool
}

// WithHealth returns the entry updated with the health of its targets, or entry itself
// if nothing changes. healthOf returns known = false for targets without health data;
// they are left unchanged.
func WithHealth(entry *state.ServiceEntry, healthOf func(state.TargetNumber) (health Health, known bool)) *state.ServiceEntry {
	var next *state.ServiceEntry
	for i, target := range entry.TargetEntries {
		health, known := healthOf(target.Number)
		if !known {
			continue
		}
		updated := *target
		updated.Ejected = health.Ejected
		updated.ShareMilli = health.ShareMilli
		updated.Leaving = health.Leaving || leavingInRelease(entry, target.Number)
		if updated == *target {
			continue
		}
		if next == nil {
			next = cloneEntry(entry)
		}
		next.TargetEntries[i] = &updated
	}
	if next == nil {
		return entry
	}
	next.DomainWeights = usableWeights(next)
	return next
}

// cloneEntry returns a copy of an entry with its own list of target entries.
func cloneEntry(entry *state.ServiceEntry) *state.ServiceEntry {
	next := *entry
	next.TargetEntries = append([]*state.TargetEntry(nil), entry.TargetEntries...)
	return &next
}

// usableWeights returns the domain weights with Usable restricted to targets that take
// new flows and are not ejected. Weight stays that of the release, so that health does
// not change which hosts own flows.
func usableWeights(entry *state.ServiceEntry) []state.DomainWeight {
	weights := domainWeights(entry.Targets)
	for i := range weights {
		weights[i].Usable = 0
	}
	for _, target := range entry.TargetEntries {
		if target.Withdrawn || target.Ejected || !acceptsNewFlows(target.Target) {
			continue
		}
		for i := range weights {
			if weights[i].Domain == target.Domain {
				weights[i].Usable += target.Weight
			}
		}
	}
	return weights
}

// leavingInRelease reports whether the release marks a target as leaving.
func leavingInRelease(entry *state.ServiceEntry, number state.TargetNumber) bool {
	for _, target := range entry.Targets {
		if target.Number == number {
			return target.Leaving
		}
	}
	return false
}
