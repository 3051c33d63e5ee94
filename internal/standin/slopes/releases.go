package slopes

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	hostsPerReleaseDomain = 4
	releaseDomains        = 4
	// releaseMinutes is the virtual time that one point is measured for.
	releaseMinutes = 2
	// releaseLimit is the longest virtual time until a note is in force everywhere.
	releaseLimit     = time.Minute
	noteDeadline     = 30 * time.Second
	maxReleaseMicros = int64(time.Hour / time.Microsecond)
	// releaseTargets and releaseServices are the size of the first release,
	// which the measured ones extend.
	releaseTargets  = 140
	releaseServices = 20
)

// measureReleases applies x releases per minute to a fleet, each of which adds one
// target.
func measureReleases(r *run, x int) ([]Metric, error) {
	f, err := newFleetWithRelease(r, releaseDomains, hostsPerReleaseDomain)
	if err != nil {
		return nil, err
	}
	times := hdrhistogram.New(1, maxReleaseMicros, significantDigits)
	f.resetCounts()
	began := f.now
	for i := range x * releaseMinutes {
		due := began.Add(time.Duration(i) * time.Minute / time.Duration(x))
		if wait := due.Sub(f.now); wait > 0 {
			f.run(wait)
		}
		took, err := f.applyNote(addTargetToFirstService(i))
		if err != nil {
			return nil, err
		}
		// The value is within the histogram's range, so there is no error.
		_ = times.RecordValue(took.Microseconds())
	}
	if rest := releaseMinutes*time.Minute - f.now.Sub(began); rest > 0 {
		f.run(rest)
	}
	elapsed := f.now.Sub(began).Seconds()
	perHost := float64(len(f.hosts)) * elapsed
	return []Metric{
		{"in_force_p50", "s", float64(times.ValueAtQuantile(50)) / 1e6},
		{"in_force_max", "s", float64(times.Max()) / 1e6},
		{"platform_calls_all", "1/s", float64(f.counts.calls) / elapsed},
		{"platform_writes_all", "1/s", float64(f.counts.writes) / elapsed},
		{"longest_step", "s", f.longestStep().Seconds()},
		{"bytes_a_host", "bytes/s", float64(f.counts.bytes) / perHost},
		{"bytes_busiest_host", "bytes/s", float64(f.maxHostBytes()) / elapsed},
		{"core_share_a_host", "cores", (f.counts.stepping + f.counts.coding).Seconds() / perHost},
	}, nil
}

const (
	// propagationDomains is the number of domains in measurePropagation.
	propagationDomains  = 2
	propagationReleases = 5
)

// measurePropagation measures how long releases take to reach two domains of x
// hosts each.
func measurePropagation(r *run, x int) ([]Metric, error) {
	f, err := newFleetWithRelease(r, propagationDomains, x)
	if err != nil {
		return nil, err
	}
	times := hdrhistogram.New(1, maxReleaseMicros, significantDigits)
	f.resetCounts()
	began := f.now
	for i := range propagationReleases {
		took, err := f.applyNote(addTargetToFirstService(i))
		if err != nil {
			return nil, err
		}
		// The value is within the histogram's range, so there is no error.
		_ = times.RecordValue(took.Microseconds())
		f.run(second)
	}
	elapsed := f.now.Sub(began).Seconds()
	return []Metric{
		{"in_force_p50", "s", float64(times.ValueAtQuantile(50)) / 1e6},
		{"in_force_max", "s", float64(times.Max()) / 1e6},
		{"platform_calls_all", "1/s", float64(f.counts.calls) / elapsed},
		{"messages_a_release_a_host", "messages", float64(f.counts.messages) / float64(propagationReleases*len(f.hosts))},
	}, nil
}

// newFleetWithRelease returns a fleet whose membership has converged and whose first
// release is in force.
func newFleetWithRelease(r *run, domains, hosts int) (*fleet, error) {
	f, err := newFleet(domains, hosts, r.seed)
	if err != nil {
		return nil, err
	}
	if !f.runUntil(convergenceLimit, func() bool { return f.membershipConverged(hosts) }) {
		return nil, errNotConverged
	}
	first := &state.Note{ID: "first", Deadline: noteDeadline}
	first.SetCustomers = []state.Customer{{ID: "customer", Weight: 1}}
	for d := range domains {
		first.AddDomains = append(first.AddDomains, domainID(d))
	}
	addServices(first, 0, releaseServices, releaseTargets, domains)
	_, err = f.applyNote(first)
	return f, err
}

// maxTargetsPerService spaces the target numbers of notes, so that two notes never
// add the same target.
const maxTargetsPerService = 10

// addServices adds services to a note, with the targets spread evenly over the
// services and the domains.
func addServices(note *state.Note, firstService, services, targets, domains int) {
	next := 0
	for s := range services {
		service := testService(firstService + s)
		note.AddServices = append(note.AddServices, state.ServiceSpec{
			ID:          service.ID,
			Customer:    service.Customer,
			Protocol:    service.Protocol,
			Address:     service.Address,
			IdleTimeout: service.IdleTimeout,
		})
		for ; next < targets*(s+1)/services; next++ {
			target := testTarget(firstService*maxTargetsPerService+next, next%domains)
			note.AddTargets = append(note.AddTargets, targetSpec(target, service.ID))
		}
	}
}

func targetSpec(t state.Target, service state.ServiceID) state.TargetSpec {
	return state.TargetSpec{
		ID:          t.ID,
		Service:     service,
		Domain:      t.Domain,
		Address:     t.Address,
		Weight:      t.Weight,
		Slots:       t.Slots,
		Connections: t.Connections,
	}
}

// addTargetToFirstService returns the n-th note, which adds one target to the first
// service.
func addTargetToFirstService(n int) *state.Note {
	target := testTarget(1<<20+n, 0)
	return &state.Note{
		ID:         state.NoteID(fmt.Sprintf("change-%d", n)),
		Deadline:   noteDeadline,
		AddTargets: []state.TargetSpec{targetSpec(target, testService(0).ID)},
	}
}

// applyNote submits a note based on the current release. It returns the virtual time
// until every host has it in force, or an error after releaseLimit.
func (f *fleet) applyNote(note *state.Note) (time.Duration, error) {
	head, _, err := f.platform.head()
	if err != nil {
		return 0, err
	}
	note.Base = head.Version
	pending, err := f.platform.submitNote(f.now, *note)
	if err != nil {
		return 0, err
	}
	if !pending {
		return 0, fmt.Errorf("note %s was not accepted as pending", note.ID)
	}
	f.queued = f.platform.answerWatches(f.queued)
	began := f.now
	if !f.runUntil(releaseLimit, func() bool { return f.releaseInForce(note.Base + 1) }) {
		return 0, fmt.Errorf("note %s is not in force everywhere after %s", note.ID, releaseLimit)
	}
	return f.now.Sub(began), nil
}

func (f *fleet) releaseInForce(version state.ReleaseVersion) bool {
	for _, h := range f.hosts {
		if h.snapshot == nil || h.snapshot.Version < version {
			return false
		}
	}
	return true
}
