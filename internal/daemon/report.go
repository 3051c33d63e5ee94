package daemon

import (
	"github.com/guavawharf/guavawharf/internal/coordination/control"
	"github.com/guavawharf/guavawharf/internal/state"
)

// targetTotals are the counters of a target at the last report.
type targetTotals struct {
	openings    int64
	completed   int64
	retransmits int64
	resets      int64
}

func readTotals(load *state.TargetCounters) targetTotals {
	return targetTotals{
		openings:    load.Openings.Load(),
		completed:   load.Completed.Load(),
		retransmits: load.Retransmits.Load(),
		resets:      load.Resets.Load(),
	}
}

// reporter turns the counters of targets into what was seen since the last
// report.
type reporter struct {
	// last holds the targets that traffic ever saw.
	last map[*state.TargetCounters]targetTotals
	// version is the release whose targets last was limited to.
	version state.ReleaseVersion
}

// nextReport returns what was seen since the last call. Targets without news are left
// out, so that the report grows with the traffic and not with the release.
func (r *reporter) nextReport(snapshot *state.Snapshot, flows int) control.TrafficReported {
	if r.last == nil || r.version != snapshot.Version {
		r.dropAbsentTargets(snapshot)
	}
	report := control.TrafficReported{OpenFlows: flows}
	for _, service := range snapshot.Services {
		for _, target := range service.TargetEntries {
			current := readTotals(target.Counters)
			if current == (targetTotals{}) {
				continue
			}
			before := r.last[target.Counters]
			if current == before {
				continue
			}
			r.last[target.Counters] = current
			report.Targets = append(report.Targets, newTargetReport(target, before, current))
		}
	}
	return report
}

func newTargetReport(target *state.TargetEntry, before, current targetTotals) control.TargetReport {
	return control.TargetReport{
		Number:      target.Number,
		OpenFlows:   target.Counters.OpenFlows.Load(),
		Openings:    current.openings - before.openings,
		Completed:   current.completed - before.completed,
		Retransmits: current.retransmits - before.retransmits,
		Resets:      current.resets - before.resets,
	}
}

// dropAbsentTargets drops what is kept of targets that the snapshot lacks.
func (r *reporter) dropAbsentTargets(snapshot *state.Snapshot) {
	kept := make(map[*state.TargetCounters]targetTotals, len(r.last))
	for _, service := range snapshot.Services {
		for _, target := range service.TargetEntries {
			if before, ok := r.last[target.Counters]; ok {
				kept[target.Counters] = before
			}
		}
	}
	r.last = kept
	r.version = snapshot.Version
}
