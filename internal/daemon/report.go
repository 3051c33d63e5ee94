package daemon

import (
	"github.com/guavawharf/guavawharf/internal/coordination/control"
	"github.com/guavawharf/guavawharf/internal/state"
)

// targetTotals are the values of a target's counters at one report.
type targetTotals struct {
	openings    int64
	completed   int64
	retransmits int64
	resets      int64
}

func readTotals(counters *state.TargetCounters) targetTotals {
	return targetTotals{
		openings:    counters.Openings.Load(),
		completed:   counters.Completed.Load(),
		retransmits: counters.Retransmits.Load(),
		resets:      counters.Resets.Load(),
	}
}

// reporter computes traffic reports: the increase of the targets' counters since the
// previous report.
type reporter struct {
	// lastTotals contains the totals, at their last reported change, of the targets with
	// traffic so far.
	lastTotals map[*state.TargetCounters]targetTotals
	// releaseVersion is the release for which absent targets were last dropped.
	releaseVersion state.ReleaseVersion
}

// nextReport returns the increase of the counters since the last call. Targets without a
// change are left out, so that a report's size depends on the traffic and not on the
// size of the release.
func (r *reporter) nextReport(snapshot *state.Snapshot, flows int) control.TrafficReported {
	if r.lastTotals == nil || r.releaseVersion != snapshot.Version {
		r.dropAbsentTargets(snapshot)
	}
	report := control.TrafficReported{OpenFlows: flows}
	for _, service := range snapshot.Services {
		for _, target := range service.TargetEntries {
			current := readTotals(target.Counters)
			if current == (targetTotals{}) {
				continue
			}
			previous := r.lastTotals[target.Counters]
			if current == previous {
				continue
			}
			r.lastTotals[target.Counters] = current
			report.Targets = append(report.Targets, newTargetReport(target, previous, current))
		}
	}
	return report
}

func newTargetReport(target *state.TargetEntry, previous, current targetTotals) control.TargetReport {
	return control.TargetReport{
		Number:      target.Number,
		OpenFlows:   target.Counters.OpenFlows.Load(),
		Openings:    current.openings - previous.openings,
		Completed:   current.completed - previous.completed,
		Retransmits: current.retransmits - previous.retransmits,
		Resets:      current.resets - previous.resets,
	}
}

// dropAbsentTargets drops the totals of targets that are not in the snapshot.
func (r *reporter) dropAbsentTargets(snapshot *state.Snapshot) {
	kept := make(map[*state.TargetCounters]targetTotals, len(r.lastTotals))
	for _, service := range snapshot.Services {
		for _, target := range service.TargetEntries {
			if before, ok := r.lastTotals[target.Counters]; ok {
				kept[target.Counters] = before
			}
		}
	}
	r.lastTotals = kept
	r.releaseVersion = snapshot.Version
}
