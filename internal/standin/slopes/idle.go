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
	// convergenceLimit is the longest virtual time until membership converges.
	convergenceLimit = 3 * time.Minute
	// idleTime is the virtual time that an idle fleet is measured for.
	idleTime = 20 * time.Second
	// hostsPerDomain is the number of hosts per domain in measureDomains.
	hostsPerDomain = 8
)

var errNotConverged = errors.New("the membership views of the hosts did not converge")

// measureDomainHosts measures one idle domain of x hosts.
func measureDomainHosts(r *run, x int) ([]Metric, error) {
	return measureIdle(r, 1, x)
}

// measureDomains measures x idle domains of hostsPerDomain hosts.
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

// membershipConverged reports whether the view of every host contains all hosts of
// its own domain.
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
