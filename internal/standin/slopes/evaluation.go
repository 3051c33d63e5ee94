package slopes

import (
	"fmt"
	"runtime"

	"github.com/guavawharf/guavawharf/internal/coordination/control"
	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	// targetsPerNote keeps a note below the platform's limit on the size of values.
	targetsPerNote  = 2250
	servicesPerNote = 300
	// evaluationSeconds is the virtual time that one point is measured for.
	evaluationSeconds = 10
	// openingsPerReport is the number of openings a host reports of each target in
	// one second; all of them complete.
	openingsPerReport = 4
)

// measureEvaluatedTargets measures one host that evaluates x targets from a traffic
// report each second, and then applies a release that adds one target.
func measureEvaluatedTargets(r *run, x int) ([]Metric, error) {
	before := liveHeapBytes()
	f, err := newFleet(1, 1, r.seed)
	if err != nil {
		return nil, err
	}
	if err := f.applyTargets(x); err != nil {
		return nil, err
	}
	memory := liveHeapBytes() - before
	h := f.hosts[0]
	f.resetCounts()
	for range evaluationSeconds {
		f.handle(h, trafficReport(h.snapshot))
		f.run(second)
	}
	evaluating := f.counts.stepping
	longest := h.longestStep
	h.longestStep = 0
	if _, err := f.applyNote(addTargetToFirstService(0)); err != nil {
		return nil, err
	}
	runtime.KeepAlive(f)
	return []Metric{
		{"core_share", "cores", evaluating.Seconds() / evaluationSeconds},
		{"longest_step", "s", longest.Seconds()},
		{"change_step", "s", h.longestStep.Seconds()},
		{"memory", "bytes", memory},
		{"largest_object", "bytes", float64(f.platform.largest)},
	}, nil
}

// applyTargets applies release notes of bounded size until x targets are in force.
func (f *fleet) applyTargets(x int) error {
	chunks := (x + targetsPerNote - 1) / targetsPerNote
	for i := range chunks {
		note := &state.Note{ID: state.NoteID(fmt.Sprintf("load-%d", i)), Deadline: noteDeadline}
		if i == 0 {
			note.SetCustomers = []state.Customer{{ID: "customer", Weight: 1}}
			note.AddDomains = []state.DomainID{domainID(0)}
		}
		targets := min(targetsPerNote, x-i*targetsPerNote)
		addServices(note, i*servicesPerNote, min(servicesPerNote, targets), targets, 1)
		if _, err := f.applyNote(note); err != nil {
			return err
		}
	}
	return nil
}

// trafficReport returns a traffic report with openingsPerReport completed openings
// of every target.
func trafficReport(snapshot *state.Snapshot) control.TrafficReported {
	var report control.TrafficReported
	for number := range snapshot.Targets {
		report.Targets = append(report.Targets, control.TargetReport{
			Number:    number,
			Openings:  openingsPerReport,
			Completed: openingsPerReport,
		})
	}
	return report
}
