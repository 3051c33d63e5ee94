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
	// judgeInterval is the time between two judgements.
	judgeInterval = time.Second
	// judgeBudget is about how many targets are judged at a time. A larger
	// release is judged in turns, so that the cost does not grow with it.
	judgeBudget = 4000
)

// judge keeps the health of the targets.
type judge struct {
	tracker  *health.Tracker
	verdicts map[state.TargetNumber]lookup.Health
	// revision is the revision of the load list taken in last.
	revision uint64
	judged   time.Time
	budget   int
	// round holds the services still to be judged in this turn.
	round []state.ServiceID
	// due asks to take in drain signals before judgeInterval has passed.
	due bool
}

func newJudge() judge {
	return judge{
		tracker:  health.New(health.Settings{}),
		budget:   judgeBudget,
		verdicts: make(map[state.TargetNumber]lookup.Health),
	}
}

// report takes in what traffic saw of the targets.
func (j *judge) report(now time.Time, reported TrafficReported) {
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

// setLoads takes in the targets' own reports; a drain signal must not wait.
func (j *judge) setLoads(now time.Time, lists *listing.Machine) {
	list, revision := lists.Loads()
	if revision <= j.revision {
		return
	}
	j.revision = revision
	j.tracker.RecordLoads(now, list)
	j.due = true
}

// apply judges the targets whose turn it is and those with a new drain signal.
// It reports whether an entry changed.
func (j *judge) apply(now time.Time, entries map[state.ServiceID]*state.ServiceEntry) bool {
	changed := false
	if j.due {
		j.due = false
		changed = j.applyDrains(now, entries)
	}
	if now.Sub(j.judged) >= judgeInterval {
		j.judged = now
		changed = j.applyTurn(now, entries) || changed
	}
	return changed
}

// applyDrains judges the services whose drain signals changed.
func (j *judge) applyDrains(now time.Time, entries map[state.ServiceID]*state.ServiceEntry) bool {
	changed := false
	for id, entry := range entries {
		if j.drainChanged(entry) {
			changed = j.judgeService(now, id, entries) || changed
		}
	}
	return changed
}

func (j *judge) drainChanged(entry *state.ServiceEntry) bool {
	for _, target := range entry.TargetEntries {
		if j.tracker.Draining(target.ID) != j.verdicts[target.Number].Leaving {
			return true
		}
	}
	return false
}

// applyTurn judges services in turn until the budget is spent.
func (j *judge) applyTurn(now time.Time, entries map[state.ServiceID]*state.ServiceEntry) bool {
	if len(j.round) == 0 {
		j.round = slices.Sorted(maps.Keys(entries))
	}
	changed := false
	for left := j.budget; left > 0 && len(j.round) > 0; {
		id := j.round[0]
		j.round = j.round[1:]
		if entries[id] == nil {
			continue
		}
		left -= len(entries[id].TargetEntries)
		changed = j.judgeService(now, id, entries) || changed
	}
	return changed
}

// judgeService replaces the entry of a service if a verdict on it changed.
func (j *judge) judgeService(now time.Time, id state.ServiceID, entries map[state.ServiceID]*state.ServiceEntry) bool {
	entry := entries[id]
	j.judgeEntry(now, entry)
	entries[id] = j.dress(entry)
	return entries[id] != entry
}

func (j *judge) judgeEntry(now time.Time, entry *state.ServiceEntry) {
	for _, verdict := range j.tracker.Decide(now, entry.TargetEntries) {
		j.verdicts[verdict.Number] = lookup.Health{
			Ejected:    verdict.Ejected,
			ShareMilli: verdict.ShareMilli,
			Leaving:    verdict.Leaving,
		}
	}
}

// dress gives an entry the last verdicts.
func (j *judge) dress(entry *state.ServiceEntry) *state.ServiceEntry {
	return lookup.WithHealth(entry, func(number state.TargetNumber) (lookup.Health, bool) {
		verdict, known := j.verdicts[number]
		return verdict, known
	})
}

// forget drops what is known of a target that is gone.
func (j *judge) forget(number state.TargetNumber) {
	j.tracker.Remove(number)
	delete(j.verdicts, number)
}
