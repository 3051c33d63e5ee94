package control

import (
	"maps"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/health"
	"github.com/guavawharf/guavawharf/internal/coordination/listing"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/lookup"
)

const (
	// evaluationInterval is the time between two evaluations of target health.
	evaluationInterval = time.Second
	// evaluationBudget is the approximate number of targets evaluated at a time.
	// The services of a larger release are evaluated in batches, so that the cost
	// of one evaluation does not grow with the release.
	evaluationBudget = 4000
)

// healthEvaluator tracks target health and applies it to service entries.
type healthEvaluator struct {
	tracker *health.Tracker
	// decisions holds the latest decision on each target.
	decisions map[state.TargetNumber]lookup.Health
	// loadsRevision is the revision of the last recorded load list.
	loadsRevision uint64
	evaluatedAt   time.Time
	budget        int
	// pendingServices holds the services still to be evaluated in this round.
	pendingServices []state.ServiceID
	// drainCheckPending makes the next evaluate apply changed drain signals even if
	// evaluationInterval has not passed.
	drainCheckPending bool
}

func newHealthEvaluator() healthEvaluator {
	return healthEvaluator{
		tracker:   health.New(health.Settings{}),
		budget:    evaluationBudget,
		decisions: make(map[state.TargetNumber]lookup.Health),
	}
}

// recordTraffic adds the counts of a traffic report to the health evidence.
func (h *healthEvaluator) recordTraffic(now time.Time, report TrafficReported) {
	samples := make([]health.Sample, 0, len(report.Targets))
	for _, target := range report.Targets {
		samples = append(samples, health.Sample{
			Target:      target.Number,
			Openings:    target.Openings,
			Completed:   target.Completed,
			Retransmits: target.Retransmits,
			Resets:      target.Resets,
		})
	}
	h.tracker.RecordSamples(now, samples)
}

// recordLoads records a new list of the targets' own load reports. Drain signals
// in it take effect at the next evaluate, without waiting for evaluationInterval.
func (h *healthEvaluator) recordLoads(now time.Time, lists *listing.Machine) {
	list, revision := lists.Loads()
	if revision <= h.loadsRevision {
		return
	}
	h.loadsRevision = revision
	h.tracker.RecordLoads(now, list)
	h.drainCheckPending = true
}

// evaluate evaluates the services with a changed drain signal and, once per
// evaluationInterval, the next batch of services. It reports whether an entry
// changed.
func (h *healthEvaluator) evaluate(now time.Time, entries map[state.ServiceID]*state.ServiceEntry) bool {
	changed := false
	if h.drainCheckPending {
		h.drainCheckPending = false
		changed = h.evaluateDrains(now, entries)
	}
	if now.Sub(h.evaluatedAt) >= evaluationInterval {
		h.evaluatedAt = now
		changed = h.evaluateBatch(now, entries) || changed
	}
	return changed
}

// evaluateDrains evaluates the services whose drain signals changed.
func (h *healthEvaluator) evaluateDrains(now time.Time, entries map[state.ServiceID]*state.ServiceEntry) bool {
	changed := false
	for id, entry := range entries {
		if h.drainChanged(entry) {
			changed = h.evaluateService(now, id, entries) || changed
		}
	}
	return changed
}

// drainChanged reports whether the drain signal of a target differs from the latest
// decision on it.
func (h *healthEvaluator) drainChanged(entry *state.ServiceEntry) bool {
	for _, target := range entry.TargetEntries {
		if h.tracker.Draining(target.ID) != h.decisions[target.Number].Leaving {
			return true
		}
	}
	return false
}

// evaluateBatch evaluates pending services, in order of their ids, until the budget
// is spent. It starts a new round over all services when none is pending.
func (h *healthEvaluator) evaluateBatch(now time.Time, entries map[state.ServiceID]*state.ServiceEntry) bool {
	if len(h.pendingServices) == 0 {
		h.pendingServices = slices.Sorted(maps.Keys(entries))
	}
	changed := false
	for remaining := h.budget; remaining > 0 && len(h.pendingServices) > 0; {
		id := h.pendingServices[0]
		h.pendingServices = h.pendingServices[1:]
		if entries[id] == nil {
			continue
		}
		remaining -= len(entries[id].TargetEntries)
		changed = h.evaluateService(now, id, entries) || changed
	}
	return changed
}

// evaluateService evaluates the targets of a service, replaces its entry if the
// health of a target changed and reports whether it did.
func (h *healthEvaluator) evaluateService(now time.Time, id state.ServiceID, entries map[state.ServiceID]*state.ServiceEntry) bool {
	entry := entries[id]
	h.decide(now, entry)
	entries[id] = h.withHealth(entry)
	return entries[id] != entry
}

// decide updates the decisions on the targets of an entry.
func (h *healthEvaluator) decide(now time.Time, entry *state.ServiceEntry) {
	for _, decision := range h.tracker.Decide(now, entry.TargetEntries) {
		h.decisions[decision.Number] = lookup.Health{
			Ejected:    decision.Ejected,
			ShareMilli: decision.ShareMilli,
			Leaving:    decision.Leaving,
		}
	}
}

// withHealth returns the entry with the latest decisions on its targets, or entry
// itself if nothing changes.
func (h *healthEvaluator) withHealth(entry *state.ServiceEntry) *state.ServiceEntry {
	return lookup.WithHealth(entry, func(number state.TargetNumber) (lookup.Health, bool) {
		decision, known := h.decisions[number]
		return decision, known
	})
}

// removeTarget deletes the evidence and the decision on a removed target.
func (h *healthEvaluator) removeTarget(number state.TargetNumber) {
	h.tracker.Remove(number)
	delete(h.decisions, number)
}
