package slopes

import (
	"fmt"
	"runtime"

	"github.com/guavawharf/guavawharf/internal/coordination/control"
	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	// chunkTargets keeps a note below the largest value of the platform.
	chunkTargets  = 2250
	chunkServices = 300
	// judgedSeconds is the virtual time of one point.
	judgedSeconds = 10
	// openingsSeen is what a host sees of each target in one second.
	openingsSeen = 4
)

// measureJudged lets one host judge x targets from a report of traffic each
// second, and takes in a change of one target.
func measureJudged(r *run, x int) ([]Metric, error) {
	before := heapBytes()
	f, err := newFleet(1, 1, r.seed)
	if err != nil {
		return nil, err
	}
	if err := f.load(x); err != nil {
		return nil, err
	}
	memory := heapBytes() - before
	h := f.hosts[0]
	f.resetCounts()
	for range judgedSeconds {
		f.handle(h, reportOn(h.snapshot))
		f.run(second)
	}
	judged := f.counts.stepping
	longest := h.longest
	h.longest = 0
	if _, err := f.apply(oneMore(0)); err != nil {
		return nil, err
	}
	runtime.KeepAlive(f)
	return []Metric{
		{"core_share", "cores", judged.Seconds() / judgedSeconds},
		{"longest_step", "s", longest.Seconds()},
		{"change_step", "s", h.longest.Seconds()},
		{"memory", "bytes", memory},
		{"largest_object", "bytes", float64(f.store.largest)},
	}, nil
}

// load brings x targets into force by notes of bounded size.
func (f *fleet) load(x int) error {
	chunks := (x + chunkTargets - 1) / chunkTargets
	for i := range chunks {
		note := &state.Note{ID: state.NoteID(fmt.Sprintf("load-%d", i)), Deadline: noteDeadline}
		if i == 0 {
			note.SetCustomers = []state.Customer{{ID: "customer", Weight: 1}}
			note.AddDomains = []state.DomainID{domainID(0)}
		}
		targets := min(chunkTargets, x-i*chunkTargets)
		addServices(note, i*chunkServices, min(chunkServices, targets), targets, 1)
		if _, err := f.apply(note); err != nil {
			return err
		}
	}
	return nil
}

// reportOn is what traffic reports of every target.
func reportOn(snapshot *state.Snapshot) control.TrafficReported {
	var report control.TrafficReported
	for number := range snapshot.Targets {
		report.Targets = append(report.Targets, control.TargetReport{
			Number:    number,
			Openings:  openingsSeen,
			Completed: openingsSeen,
		})
	}
	return report
}
