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
	// evaluationInterval is the time between two judgements.
	evaluationInterval = time.Second
	// evaluationBudget is about how many targets are judged at a time. A larger
	// release is judged in turns, so that the cost does not grow with it.
	evaluationBudget = 4000
)

// healthEvaluator keeps the health of the targets.
type healthEvaluator struct {
	tracker  *health.Tracker
	decisions map[state.TargetNumber]lookup.Health
	// loadsRevision is the loadsRevision of the load list taken in last.
	loadsRevision uint64
	evaluatedAt   time.Time
	budget   int
	// pendingServices holds the services still to be judged in this turn.
	pendingServices []state.ServiceID
	// drainCheckPending asks to take in drain signals before judgeInterval has passed.
	drainCheckPending bool
}

func newHealthEvaluator() healthEvaluator {
	return healthEvaluator{
		tracker:  health.New(health.Settings{}),
		budget:   evaluationBudget,
		decisions: make(map[state.TargetNumber]lookup.Health),
	}
}

// recordTraffic takes in what traffic saw of the targets.
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

// recordLoads takes in the targets' own reports; a drain signal must not wait.
func (j *healthEvaluator) recordLoads(now time.Time, lists *listing.Machine) {
	list, revision := lists.Loads()
	if revision <= j.loadsRevision {
		return
	}
	j.loadsRevision = revision
	j.tracker.RecordLoads(now, list)
	j.drainCheckPending = true
}

// evaluate judges the targets whose turn it is and those with a new drain signal.
// It reports whether an entry changed.
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

// evaluateDrains judges the services whose drain signals changed.
func (j *healthEvaluator) evaluateDrains(now time.Time, entries map[state.ServiceID]*state.ServiceEntry) bool {
	changed := false
	for id, entry := range entries {
		if j.drainChanged(entry) {
			changed = j.evaluateService(now, id, entries) || changed
		}
	}
	return changed
}

func (j *healthEvaluator) drainChanged(entry *state.ServiceEntry) bool {
	for _, target := range entry.TargetEntries {
		if j.tracker.Draining(target.ID) != j.decisions[target.Number].Leaving {
			return true
		}
	}
	return false
}

// evaluateBatch judges services in turn until the budget is spent.
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

// evaluateService replaces the entry of a service if a verdict on it changed.
func (j *healthEvaluator) evaluateService(now time.Time, id state.ServiceID, entries map[state.ServiceID]*state.ServiceEntry) bool {
	entry := entries[id]
	j.decide(now, entry)
	entries[id] = j.withHealth(entry)
	return entries[id] != entry
}

func (j *healthEvaluator) decide(now time.Time, entry *state.ServiceEntry) {
	for _, verdict := range j.tracker.Decide(now, entry.TargetEntries) {
		j.decisions[verdict.Number] = lookup.Health{
			Ejected:    verdict.Ejected,
			ShareMilli: verdict.ShareMilli,
			Leaving:    verdict.Leaving,
		}
	}
}

// withHealth gives an entry the last verdicts.
func (j *healthEvaluator) withHealth(entry *state.ServiceEntry) *state.ServiceEntry {
	return lookup.WithHealth(entry, func(number state.TargetNumber) (lookup.Health, bool) {
		verdict, known := j.decisions[number]
		return verdict, known
	})
}

// removeTarget drops what is known of a target that is gone.
func (j *healthEvaluator) removeTarget(number state.TargetNumber) {
	j.tracker.Remove(number)
	delete(j.decisions, number)
}
