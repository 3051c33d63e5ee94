package control

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/health"
	"github.com/guavawharf/guavawharf/internal/coordination/listing"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/lookup"
)

// judgeInterval is the time between two judgements of the targets.
const judgeInterval = time.Second

// judge keeps the health of the targets.
type judge struct {
	tracker  *health.Tracker
	verdicts map[state.TargetNumber]lookup.Health
	// revision is the revision of the load list taken in last.
	revision uint64
	judged   time.Time
	// due asks for a judgement before judgeInterval has passed.
	due bool
}

func newJudge() judge {
	return judge{
		tracker:  health.New(health.Settings{}),
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
	j.tracker.Report(now, samples)
}

// setLoads takes in the targets' own reports; a drain signal must not wait.
func (j *judge) setLoads(now time.Time, lists *listing.Machine) {
	list, revision := lists.Loads()
	if revision <= j.revision {
		return
	}
	j.revision = revision
	j.tracker.Loads(now, list)
	j.due = true
}

// apply judges the targets when it is time and reports whether an entry changed.
func (j *judge) apply(now time.Time, entries map[state.ServiceID]*state.ServiceEntry) bool {
	if !j.due && now.Sub(j.judged) < judgeInterval {
		return false
	}
	j.due = false
	j.judged = now
	changed := false
	for id, entry := range entries {
		j.judgeEntry(now, entry)
		next := j.dress(entry)
		changed = changed || next != entry
		entries[id] = next
	}
	return changed
}

func (j *judge) judgeEntry(now time.Time, entry *state.ServiceEntry) {
	for _, verdict := range j.tracker.Verdicts(now, entry.Entries) {
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
	j.tracker.Forget(number)
	delete(j.verdicts, number)
}
