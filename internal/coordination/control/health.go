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
func (j *healthEvaluator) recordTraffic(now time.Time, reported TrafficReported) {
	samples := make([]health.Sample, 0, len(reported.Targets))
	for _, target := range reported.Targets {
		samples = append(samples, health.Sample{
			Target:      target.Number,
			Openings:    target.Openings,
			Completed:   target.Completed,
			Retransmits: target.Retransmits,
			Resets:      target.Resets,
		})
	}
	j.tracker.RecordSamples(now, samples)
}

// recordLoads records a new list of the targets' own load reports. Drain signals
// in it take effect at the next evaluate, without waiting for evaluationInterval.
func (j *healthEvaluator) recordLoads(now time.Time, lists *listing.Machine) {
	list, revision := lists.Loads()
	if revision <= j.loadsRevision {
		return
	}
	j.loadsRevision = revision
	j.tracker.RecordLoads(now, list)
	j.drainCheckPending = true
}

// evaluate evaluates the services with a changed drain signal and, once per
// evaluationInterval, the next batch of services. It reports whether an entry
// changed.
func (j *healthEvaluator) evaluate(now time.Time, entries map[state.ServiceID]*state.ServiceEntry) bool {
	changed := false
	if j.drainCheckPending {
		j.drainCheckPending = false
		changed = j.evaluateDrains(now, entries)
	}
	if now.Sub(j.evaluatedAt) >= evaluationInterval {
		j.evaluatedAt = now
		changed = j.evaluateBatch(now, entries) || changed
	}
	return changed
}

// evaluateDrains evaluates the services whose drain signals changed.
func (j *healthEvaluator) evaluateDrains(now time.Time, entries map[state.ServiceID]*state.ServiceEntry) bool {
	changed := false
	for id, entry := range entries {
		if j.drainChanged(entry) {
			changed = j.evaluateService(now, id, entries) || changed
		}
	}
	return changed
}

// drainChanged reports whether the drain signal of a target differs from the latest
// decision on it.
func (j *healthEvaluator) drainChanged(entry *state.ServiceEntry) bool {
	for _, target := range entry.TargetEntries {
		if j.tracker.Draining(target.ID) != j.decisions[target.Number].Leaving {
			return true
		}
	}
	return false
}

// evaluateBatch evaluates pending services, in order of their ids, until the budget
// is spent. It starts a new round over all services when none is pending.
func (j *healthEvaluator) evaluateBatch(now time.Time, entries map[state.ServiceID]*state.ServiceEntry) bool {
	if len(j.pendingServices) == 0 {
		j.pendingServices = slices.Sorted(maps.Keys(entries))
	}
	changed := false
	for left := j.budget; left > 0 && len(j.pendingServices) > 0; {
		id := j.pendingServices[0]
		j.pendingServices = j.pendingServices[1:]
		if entries[id] == nil {
			continue
		}
		left -= len(entries[id].TargetEntries)
		changed = j.evaluateService(now, id, entries) || changed
	}
	return changed
}

// evaluateService evaluates the targets of a service, replaces its entry if the
// health of a target changed and reports whether it did.
func (j *healthEvaluator) evaluateService(now time.Time, id state.ServiceID, entries map[state.ServiceID]*state.ServiceEntry) bool {
	entry := entries[id]
	j.decide(now, entry)
	entries[id] = j.withHealth(entry)
	return entries[id] != entry
}

// decide updates the decisions on the targets of an entry.
func (j *healthEvaluator) decide(now time.Time, entry *state.ServiceEntry) {
	for _, verdict := range j.tracker.Decide(now, entry.TargetEntries) {
		j.decisions[verdict.Number] = lookup.Health{
			Ejected:    verdict.Ejected,
			ShareMilli: verdict.ShareMilli,
			Leaving:    verdict.Leaving,
		}
	}
}

// withHealth returns the entry with the latest decisions on its targets, or entry
// itself if nothing changes.
func (j *healthEvaluator) withHealth(entry *state.ServiceEntry) *state.ServiceEntry {
	return lookup.WithHealth(entry, func(number state.TargetNumber) (lookup.Health, bool) {
		verdict, known := j.decisions[number]
		return verdict, known
	})
}

// removeTarget deletes the evidence and the decision on a removed target.
func (j *healthEvaluator) removeTarget(number state.TargetNumber) {
	j.tracker.Remove(number)
	delete(j.decisions, number)
}
