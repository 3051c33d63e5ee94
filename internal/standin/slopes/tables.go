package slopes

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/lookup"
)

const (
	// tableServices is the number of services in measureTargets.
	tableServices = 360
	// targetsPerTwoServices is the number of targets of each two services in
	// measureServices.
	targetsPerTwoServices = 15
	// incrementalChanges is the number of one-target changes that are timed.
	incrementalChanges = 20
	// tableDomains is the number of failure domains of the targets.
	tableDomains = 8
)

// measureTargets measures the tables for x targets of tableServices services.
func measureTargets(_ *run, x int) ([]Metric, error) {
	return measureTables(multiServiceRelease(min(tableServices, x), x))
}

// measureServices measures the tables for x services of 7 or 8 targets each.
func measureServices(_ *run, x int) ([]Metric, error) {
	return measureTables(multiServiceRelease(x, x*targetsPerTwoServices/2))
}

// multiServiceRelease returns a release with targets spread evenly over services.
func multiServiceRelease(services, targets int) *state.Release {
	release := &state.Release{
		Version:    1,
		Note:       "base",
		Customers:  []state.Customer{{ID: "customer", Weight: 1}},
		NextNumber: uint32(services + targets + 1),
	}
	for d := range tableDomains {
		release.Domains = append(release.Domains, domainID(d))
	}
	next := 0
	for s := range services {
		service := testService(s)
		for ; next < targets*(s+1)/services; next++ {
			target := testTarget(next, next%tableDomains)
			target.Number += state.TargetNumber(services)
			service.Targets = append(service.Targets, target)
		}
		release.Services = append(release.Services, service)
	}
	return release
}

func testService(n int) state.Service {
	ip := netip.AddrFrom4([4]byte{13, byte(n >> 16), byte(n >> 8), byte(n)})
	return state.Service{
		ID:          state.ServiceID(fmt.Sprintf("service-%06d", n)),
		Number:      state.ServiceNumber(n + 1),
		Customer:    "customer",
		Protocol:    state.TCP,
		Address:     netip.AddrPortFrom(ip, 443),
		IdleTimeout: 5 * time.Minute,
	}
}

// serviceEntries are the lookup entries of the services of a release.
type serviceEntries map[state.ServiceID]*state.ServiceEntry

// advance returns the entries of the next release, derived from the current ones as
// control does.
func (e serviceEntries) advance(release *state.Release) serviceEntries {
	next := make(serviceEntries, len(release.Services))
	for _, service := range release.Services {
		next[service.ID] = lookup.NextEntry(e[service.ID], service, release.Version)
	}
	return next
}

// measureTables measures the full build of a release's tables, and then
// incrementalChanges releases that add one target each.
func measureTables(release *state.Release) ([]Metric, error) {
	before := liveHeapBytes()
	began := threadCPUTime()
	current := serviceEntries{}.advance(release)
	full := threadCPUTime() - began
	memory := liveHeapBytes() - before
	changes := newTimings()
	for i := range incrementalChanges {
		note := addTargetToMiddleService(release, i)
		began := threadCPUTime()
		next, problems := state.Apply(release, note)
		if len(problems) > 0 {
			return nil, fmt.Errorf("change refused: %s", problems[0])
		}
		current = current.advance(next)
		changes.record(threadCPUTime() - began)
		release = next
	}
	memoryAfterChanges := liveHeapBytes() - before
	runtime.KeepAlive(current)
	encoded, err := json.Marshal(release)
	if err != nil {
		return nil, err
	}
	return []Metric{
		{"full_build", "ns", float64(full.Nanoseconds())},
		{"tables_memory", "bytes", memory},
		{"one_change_p50", "ns", changes.quantile(50)},
		{"one_change_max", "ns", float64(changes.histogram.Max())},
		{"memory_after_changes", "bytes", memoryAfterChanges},
		{"release_json", "bytes", float64(len(encoded))},
	}, nil
}

// addTargetToMiddleService returns a note that adds one target to the service in the
// middle of the release.
func addTargetToMiddleService(base *state.Release, n int) *state.Note {
	service := base.Services[len(base.Services)/2]
	target := testTarget(1<<20+n, 0)
	return &state.Note{
		ID:   state.NoteID(fmt.Sprintf("change-%d", n)),
		Base: base.Version,
		AddTargets: []state.TargetSpec{{
			ID:          target.ID,
			Service:     service.ID,
			Domain:      target.Domain,
			Address:     target.Address,
			Weight:      target.Weight,
			Slots:       target.Slots,
			Connections: target.Connections,
		}},
	}
}
