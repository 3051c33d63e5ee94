// Package health decides which share of new flows each target gets. The decision
// rests on what the packet path observes of the target and on the target's own
// load reports, which lag behind. A target's own report can lower its share. It can
// raise the share only slightly, and never against the packet path's evidence. The
// package does no I/O and reads no clock: callers pass the time in.
package health

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Decision is the outcome for one target.
type Decision struct {
	Number state.TargetNumber
	// Ejected is set while the target is ejected, as an outlier or because it reports
	// itself unhealthy; it then gets no new flows. It is never set in panic mode.
	Ejected bool
	// ShareMilli is the target's share of new flows, in thousandths of a full share.
	ShareMilli uint32
	// Leaving is the target's own drain signal; a leaving target gets no new flows.
	Leaving bool
}

// Tracker holds the evidence and the ejections of all targets. It is not safe for
// concurrent use.
type Tracker struct {
	settings Settings
	targets  map[state.TargetNumber]*target
	reports  map[state.TargetID]*report
}

// New returns a tracker without targets or reports.
func New(settings Settings) *Tracker {
	return &Tracker{
		settings: settings.withDefaults(),
		targets:  make(map[state.TargetNumber]*target),
		reports:  make(map[state.TargetID]*report),
	}
}

// RecordSamples adds what the packet path observed since the last call. Samples of
// targets that Decide has not seen are ignored.
func (t *Tracker) RecordSamples(now time.Time, samples []Sample) {
	for _, s := range samples {
		if known, ok := t.targets[s.Target]; ok {
			known.evidence.add(now, t.settings.HalfLife, s)
		}
	}
}

// RecordLoads records the targets' own reports. The newest report of each target
// counts. A target missing from the list keeps its last report for reportRetention.
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

// Draining reports whether the target's newest report signals a drain.
func (t *Tracker) Draining(id state.TargetID) bool {
	known, ok := t.reports[id]
	return ok && known.draining
}

// expireReports drops the reports of targets missing from the list once they are
// reportRetention old.
func (t *Tracker) expireReports(now time.Time, list objects.LoadList) {
	listed := make(map[state.TargetID]bool, len(list.Loads))
	for _, l := range list.Loads {
		listed[l.Target] = true
	}
	maps.DeleteFunc(t.reports, func(id state.TargetID, r *report) bool {
		return !listed[id] && now.Sub(r.receivedAt) >= reportRetention
	})
}

// Remove drops the evidence and the ejection of a target that no longer exists.
func (t *Tracker) Remove(number state.TargetNumber) { delete(t.targets, number) }

// Decide returns one decision per entry, ordered by target number. Targets are
// compared only within their service. Unknown targets are added.
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

// candidate is a target of the service for which Decide runs, with its newest report.
type candidate struct {
	*target
	entry   *state.TargetEntry
	report  *report
	leaving bool
	share   float64
}

// available reports whether the target may get new flows if its health allows.
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
