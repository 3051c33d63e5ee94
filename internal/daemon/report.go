package daemon

import (
	"github.com/guavawharf/guavawharf/internal/coordination/control"
	"github.com/guavawharf/guavawharf/internal/state"
)

// totals are the counters of a target at the last report.
type totals struct {
	openings    int64
	completed   int64
	retransmits int64
	resets      int64
}

func totalsOf(load *state.TargetLoad) totals {
	return totals{
		openings:    load.Openings.Load(),
		completed:   load.Completed.Load(),
		retransmits: load.Retransmits.Load(),
		resets:      load.Resets.Load(),
	}
}

// reporter turns the counters of targets into what was seen since the last
// report.
type reporter struct {
	last map[*state.TargetLoad]totals
}

// next returns the report since the last call.
func (r *reporter) next(snapshot *state.Snapshot, flows int) control.TrafficReported {
	report := control.TrafficReported{OpenFlows: flows}
	seen := make(map[*state.TargetLoad]totals, len(snapshot.Targets))
	for number, target := range snapshot.Targets {
		current := totalsOf(target.Load)
		before := r.last[target.Load]
		seen[target.Load] = current
		report.Targets = append(report.Targets, control.TargetReport{
			Number:      number,
			OpenFlows:   target.Load.OpenFlows.Load(),
			Openings:    current.openings - before.openings,
			Completed:   current.completed - before.completed,
			Retransmits: current.retransmits - before.retransmits,
			Resets:      current.resets - before.resets,
		})
	}
	r.last = seen
	return report
}
