package state

import (
	"net/netip"
	"sync/atomic"
)

// ServiceAddress identifies a service by the protocol and destination address of its
// packets.
type ServiceAddress struct {
	Protocol Protocol
	Address  netip.AddrPort
}

// TargetCounters holds this host's flow counters of a target. Successive snapshots
// share one TargetCounters; all fields are safe for concurrent use.
type TargetCounters struct {
	// OpenFlows is the number of open flows at the target that this host owns.
	OpenFlows atomic.Int64
	// FlowRecords is the number of flow records on this host that refer to the
	// target, including copies held for other owners. A withdrawn target is kept
	// while it is not 0.
	FlowRecords atomic.Int64
	// Openings counts flows placed on the target at their first packet, and flows
	// moved to it.
	Openings atomic.Int64
	// Completed counts openings that the client's next packet acknowledged.
	Completed atomic.Int64
	// Retransmits counts retransmitted opening and data packets.
	Retransmits atomic.Int64
	// Resets counts flows that were reset before they were closed.
	Resets atomic.Int64
}

// TargetEntry is a target with the state that packet forwarding needs.
type TargetEntry struct {
	Target
	Service ServiceNumber
	// Ejected targets get no new flows because package health found them unhealthy.
	Ejected bool
	// Withdrawn targets are not in the newest release; the entry remains for their
	// open flows.
	Withdrawn bool
	// ShareMilli scales the target's share of new flows, in thousandths, for slow
	// start and reported load. 1000 is the full share; 0 excludes the target.
	ShareMilli uint32
	Counters   *TargetCounters
}

// LookupTable maps flow hashes to the targets of one service.
type LookupTable struct {
	// Version is the release that the table was built for.
	Version ReleaseVersion
	// Slots holds target numbers; its length is a prime number.
	Slots []TargetNumber
}

// Lookup returns the target in the slot that the hash selects, 0 if the table is
// empty.
func (t *LookupTable) Lookup(hash uint64) TargetNumber {
	if len(t.Slots) == 0 {
		return 0
	}
	return t.Slots[hash%uint64(len(t.Slots))]
}

// ServiceEntry is a service with the state that packet forwarding needs.
type ServiceEntry struct {
	Service
	// Tables holds the retained lookup tables, newest first; the last is the base
	// version, the oldest one that open flows may need.
	Tables []*LookupTable
	// TargetEntries are the entries of the service's targets, including withdrawn
	// targets that may have open flows.
	TargetEntries []*TargetEntry
	// DomainWeights holds the sums of target weights by failure domain, sorted by
	// Domain.
	DomainWeights []DomainWeight
}

// DomainWeight is the sum of the weights of a service's targets in one failure
// domain.
type DomainWeight struct {
	Domain DomainID
	// Weight includes every target of the release; it determines which hosts own
	// flows.
	Weight uint32
	// Usable includes only targets that take new flows; it determines where new
	// flows are placed.
	Usable uint32
}

// Snapshot is the complete state that packet forwarding reads. Package control
// publishes a new one for each change; it is immutable except for the counters in
// TargetCounters.
type Snapshot struct {
	// Self is this host.
	Self Host
	// Version is the release in force on this host, 0 for none.
	Version   ReleaseVersion
	Customers []Customer
	Services  map[ServiceAddress]*ServiceEntry
	Targets   map[TargetNumber]*TargetEntry
	View      MembershipView
	// Ready reports whether a release is in force on this host.
	Ready bool
	// Leaving reports whether this host is shutting down.
	Leaving bool
}
