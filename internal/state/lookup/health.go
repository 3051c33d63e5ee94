package lookup

import "github.com/guavawharf/guavawharf/internal/state"

// Health is what target health says of one target.
type Health struct {
	Ejected bool
	// ShareMilli scales the target's bound, in thousandths.
	ShareMilli uint32
	// Leaving is the target's own drain signal.
	Leaving bool
}

// WithHealth returns the entry with the health of its targets; entry itself when
// nothing has changed. known is false for targets that health does not know.
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

// cloneEntry copies an entry and its list of targets.
func cloneEntry(entry *state.ServiceEntry) *state.ServiceEntry {
	next := *entry
	next.TargetEntries = append([]*state.TargetEntry(nil), entry.TargetEntries...)
	return &next
}

// usableWeights sums the domain weights anew: those of the release decide who
// owns flows, and the targets that take new flows decide where they are placed.
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
