// Package reports decides which reports about targets that are down a host passes on to
// its neighbors: the host that it reads from and those that read from it. Each report
// travels along this tree once, so that all hosts learn of it within a few round trips.
package reports

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// retention is how long a target that was reported is not reported again. A check of each
// host that got the report ends sooner.
const retention = 3 * time.Second

// Relay remembers recent reports. It is not safe for concurrent use. Times are counted
// from the start of the process.
type Relay struct {
	reportedAt map[catalog.TargetID]time.Duration
}

// NewRelay returns a relay without reports.
func NewRelay() *Relay { return &Relay{reportedAt: make(map[catalog.TargetID]time.Duration)} }

// Accept returns those of the targets that were not reported recently, by this host or
// another one, and records them.
func (r *Relay) Accept(now time.Duration, targets []catalog.TargetID) []catalog.TargetID {
	maps.DeleteFunc(r.reportedAt, func(_ catalog.TargetID, at time.Duration) bool { return now-at >= retention })
	var accepted []catalog.TargetID
	for _, target := range targets {
		if _, recent := r.reportedAt[target]; !recent {
			r.reportedAt[target] = now
			accepted = append(accepted, target)
		}
	}
	return accepted
}

// Recipients returns the neighbors to pass a report on to: all but the host that it came
// from. from is the zero address for a report of this host's own.
func Recipients(readsFrom netip.AddrPort, readers []netip.AddrPort, from netip.AddrPort) []netip.AddrPort {
	recipients := slices.Clone(readers)
	if readsFrom.IsValid() && !slices.Contains(recipients, readsFrom) {
		recipients = append(recipients, readsFrom)
	}
	return slices.DeleteFunc(recipients, func(host netip.AddrPort) bool { return host == from })
}
