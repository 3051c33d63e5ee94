// Package health decides how much new work each target gets, from what the
// forward path shows of it and from its own lagging reports. A target's own
// word can take work away from it; it can win it only a little more, and never
// against what the forward path shows. The package is pure: the time is passed
// in.
package health

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Decision is what a target gets.
type Decision struct {
	Number state.TargetNumber
	// Ejected targets get no new flows.
	Ejected bool
	// ShareMilli is its share of new flows, in thousandths of a full one.
	ShareMilli uint32
	// Leaving targets get no new flows: their own drain signal says so.
	Leaving bool
}

// Tracker holds what is known of all targets. It is not safe for concurrent
// use.
type Tracker struct {
	settings Settings
	targets  map[state.TargetNumber]*target
	reports  map[state.TargetID]*report
}

// New returns a tracker that knows nothing.
func New(settings Settings) *Tracker {
	return &Tracker{
		settings: settings.withDefaults(),
		targets:  make(map[state.TargetNumber]*target),
		reports:  make(map[state.TargetID]*report),
	}
}

// RecordSamples takes in what the forward path saw since the last report.
func (t *Tracker) RecordSamples(now time.Time, samples []Sample) {
	for _, s := range samples {
		if known, ok := t.targets[s.Target]; ok {
			known.evidence.add(now, t.settings.HalfLife, s)
		}
	}
}

// RecordLoads takes in the targets' own reports. The newest word of each counts; a
// target that the list lacks keeps its last one for reportRetention.
func (t *Tracker) RecordLoads(now time.Time, list objects.LoadList) {
	for _, l := range list.Loads {
		known, ok := t.reports[l.Target]
		if ok && !l.At.After(known.reportedAt) {
			continue
		}
		t.reports[l.Target] = &report{
			healthy:    l.Healthy,
			draining:   l.Draining,
			load:       min(max(l.Load, 0), 1),
			reportedAt: l.At,
			receivedAt: now,
		}
	}
	t.expireReports(now, list)
}

// Draining returns a target's own drain signal.
func (t *Tracker) Draining(id state.TargetID) bool {
	known, ok := t.reports[id]
	return ok && known.draining
}

// expireReports forgets old reports of targets that the list lacks.
func (t *Tracker) expireReports(now time.Time, list objects.LoadList) {
	listed := make(map[state.TargetID]bool, len(list.Loads))
	for _, l := range list.Loads {
		listed[l.Target] = true
	}
	maps.DeleteFunc(t.reports, func(id state.TargetID, r *report) bool {
		return !listed[id] && now.Sub(r.receivedAt) >= reportRetention
	})
}

// Remove drops what is known of a target that is gone.
func (t *Tracker) Remove(number state.TargetNumber) { delete(t.targets, number) }

// Decide judges the targets, each service by itself, and returns one verdict
// per entry in order of number. Targets seen for the first time are added.
func (t *Tracker) Decide(now time.Time, entries []*state.TargetEntry) []Decision {
	sorted := slices.SortedFunc(slices.Values(entries), func(a, b *state.TargetEntry) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Number, b.Number))
	})
	decisions := make([]Decision, 0, len(sorted))
	for start := 0; start < len(sorted); {
		end := start + 1
		for end < len(sorted) && sorted[end].Service == sorted[start].Service {
			end++
		}
		decisions = append(decisions, t.decideService(now, sorted[start:end])...)
		start = end
	}
	slices.SortFunc(decisions, func(a, b Decision) int { return cmp.Compare(a.Number, b.Number) })
	return decisions
}

// candidate is a target of the service being judged.
type candidate struct {
	*target
	entry   *state.TargetEntry
	report  *report
	leaving bool
	share   float64
}

// available tells whether the target may get new flows, health aside.
func (c *candidate) available() bool { return !c.leaving && !c.entry.Leaving && !c.entry.Withdrawn }

func (t *Tracker) decideService(now time.Time, entries []*state.TargetEntry) []Decision {
	all := make([]*candidate, 0, len(entries))
	var available []*candidate
	for _, entry := range entries {
		c := t.candidate(now, entry)
		all = append(all, c)
		if c.available() {
			available = append(available, c)
		}
	}
	t.endEjections(now, available)
	reference := t.referenceSuccess(available)
	panicMode := t.updateEjections(now, available, reference)
	t.computeShares(now, available, reference, panicMode)
	decisions := make([]Decision, 0, len(all))
	for _, c := range all {
		decisions = append(decisions, Decision{
			Number:     c.number,
			Ejected:    c.ejected && c.available() && !panicMode,
			ShareMilli: roundShare(c.share),
			Leaving:    c.leaving,
		})
	}
	return decisions
}

func (t *Tracker) candidate(now time.Time, entry *state.TargetEntry) *candidate {
	known, ok := t.targets[entry.Number]
	if !ok {
		known = &target{number: entry.Number, slowStartAt: now, evidence: evidence{at: now}}
		t.targets[entry.Number] = known
	}
	known.evidence.decay(now, t.settings.HalfLife)
	latest, ok := t.reports[entry.ID]
	if !ok {
		latest = &report{healthy: true}
	}
	return &candidate{target: known, entry: entry, report: latest, leaving: latest.draining, share: FullShare}
}
