package slopes

import (
	"fmt"
	"runtime"

	"github.com/guavawharf/guavawharf/internal/coordination/control"
	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	// targetsPerNote keeps a note below the largest value of the platform.
	targetsPerNote  = 2250
	servicesPerNote = 300
	// evaluationSeconds is the virtual time of one point.
	evaluationSeconds = 10
	// openingsPerReport is what a host sees of each target in one second.
	openingsPerReport = 4
)

// measureEvaluatedTargets lets one host judge x targets from a report of traffic each
// second, and takes in a change of one target.
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
	judged := f.counts.stepping
	longest := h.longestStep
	h.longestStep = 0
	if _, err := f.applyNote(addTargetToFirstService(0)); err != nil {
		return nil, err
	}
	runtime.KeepAlive(f)
	return []Metric{
		{"core_share", "cores", judged.Seconds() / evaluationSeconds},
		{"longest_step", "s", longest.Seconds()},
		{"change_step", "s", h.longestStep.Seconds()},
		{"memory", "bytes", memory},
		{"largest_object", "bytes", float64(f.platform.largest)},
	}, nil
}

// applyTargets brings x targets into force by notes of bounded size.
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

// trafficReport is what traffic reports of every target.
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
