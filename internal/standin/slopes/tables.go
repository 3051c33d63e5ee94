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
	// tableServices is the number of services while targets vary.
	tableServices = 360
	// targetsPerTwoServices is the number of targets while services vary.
	targetsPerTwoServices = 15
	// incrementalChanges are timed one after the other.
	incrementalChanges = 20
	// releaseDomains is the number of failure domains of the targets.
	releaseDomains = 8
)

// measureTargets spreads x targets over a fixed number of services.
func measureTargets(_ *run, x int) ([]Metric, error) {
	return measureTables(wideRelease(min(tableServices, x), x))
}

// measureServices gives x services their targets.
func measureServices(_ *run, x int) ([]Metric, error) {
	return measureTables(wideRelease(x, x*targetsPerTwoServices/2))
}

// wideRelease returns a release with targets spread evenly over services.
func wideRelease(services, targets int) *state.Release {
	release := &state.Release{
		Version:    1,
		Note:       "base",
		Customers:  []state.Customer{{ID: "customer", Weight: 1}},
		NextNumber: uint32(services + targets + 1),
	}
	for d := range releaseDomains {
		release.Domains = append(release.Domains, domainID(d))
	}
	next := 0
	for s := range services {
		service := wideService(s)
		for ; next < targets*(s+1)/services; next++ {
			target := testTarget(next, next%releaseDomains)
			target.Number += state.TargetNumber(services)
			service.Targets = append(service.Targets, target)
		}
		release.Services = append(release.Services, service)
	}
	return release
}

func wideService(n int) state.Service {
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

// entries are the services of a release as traffic sees them.
type entries map[state.ServiceID]*state.ServiceEntry

// carry brings the entries to a release, as control does.
func (e entries) carry(release *state.Release) entries {
	next := make(entries, len(release.Services))
	for _, service := range release.Services {
		next[service.ID] = lookup.NextEntry(e[service.ID], service, release.Version)
	}
	return next
}

// measureTables builds the tables of a release, then applies changes of one
// target each.
func measureTables(release *state.Release) ([]Metric, error) {
	before := heapBytes()
	began := threadTime()
	current := entries{}.carry(release)
	full := threadTime() - began
	memory := heapBytes() - before
	changes := newTimings()
	for i := range incrementalChanges {
		note := changeOfOne(release, i)
		began := threadTime()
		next, problems := state.Apply(release, note)
		if len(problems) > 0 {
			return nil, fmt.Errorf("change refused: %s", problems[0])
		}
		current = current.carry(next)
		changes.record(threadTime() - began)
		release = next
	}
	grown := heapBytes() - before
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
		{"memory_after_changes", "bytes", grown},
		{"release_json", "bytes", float64(len(encoded))},
	}, nil
}

// changeOfOne adds one target to a service in the middle.
func changeOfOne(base *state.Release, n int) *state.Note {
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
