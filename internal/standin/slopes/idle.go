package slopes

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	second = time.Second
	// convergenceLimit bounds the virtual time until a fleet has one view.
	convergenceLimit = 3 * time.Minute
	// idleTime is the virtual time that a quiet fleet is measured for.
	idleTime = 20 * time.Second
	// hostsPerDomain is the number of hosts a domain while domains vary.
	hostsPerDomain = 8
)

var errNotConverged = errors.New("the hosts did not come to one view")

// measureDomainHosts watches a quiet domain of x hosts.
func measureDomainHosts(r *run, x int) ([]Metric, error) {
	return measureIdle(r, 1, x)
}

// measureDomains watches x quiet domains.
func measureDomains(r *run, x int) ([]Metric, error) {
	return measureIdle(r, x, hostsPerDomain)
}

func measureIdle(r *run, domains, hosts int) ([]Metric, error) {
	before := liveHeapBytes()
	f, err := newFleet(domains, hosts, r.seed)
	if err != nil {
		return nil, err
	}
	if !f.runUntil(convergenceLimit, func() bool { return f.membershipConverged(hosts) }) {
		return nil, fmt.Errorf("%w: %d domains of %d hosts", errNotConverged, domains, hosts)
	}
	settling := f.now.Sub(virtualStart)
	f.resetCounts()
	began := processCPUTime()
	f.run(idleTime)
	all := processCPUTime() - began
	memory := liveHeapBytes() - before
	runtime.KeepAlive(f)
	perHost := float64(len(f.hosts)) * idleTime.Seconds()
	return []Metric{
		{"messages_a_host", "1/s", float64(f.counts.messages) / perHost},
		{"bytes_a_host", "bytes/s", float64(f.counts.bytes) / perHost},
		{"bytes_busiest_host", "bytes/s", float64(f.maxHostBytes()) / idleTime.Seconds()},
		{"core_share_a_host", "cores", (f.counts.stepping + f.counts.coding).Seconds() / perHost},
		{"whole_process_a_host", "cores", all.Seconds() / perHost},
		{"stepping_share_a_host", "cores", f.counts.stepping.Seconds() / perHost},
		{"memory_a_host", "bytes", memory / float64(len(f.hosts))},
		{"platform_calls_all", "1/s", float64(f.counts.calls) / idleTime.Seconds()},
		{"time_to_one_view", "s", settling.Seconds()},
	}, nil
}

// membershipConverged tells whether every host knows all hosts of its own domain.
func (f *fleet) membershipConverged(hosts int) bool {
	for _, h := range f.hosts {
		if h.snapshot == nil || countMembers(h.snapshot.View, h.host.Domain) != hosts {
			return false
		}
	}
	return true
}

func countMembers(view state.MembershipView, domain state.DomainID) int {
	count := 0
	for _, m := range view.Members {
		if m.Domain == domain {
			count++
		}
	}
	return count
}
