package state

import (
	"net/netip"
	"sync/atomic"
)

// ServiceAddress selects a service by what a packet says.
type ServiceAddress struct {
	Protocol Protocol
	Address  netip.AddrPort
}

// TargetCounters counts what this host knows of a target. The same counter object
// passes from snapshot to snapshot; all fields are safe for concurrent use.
type TargetCounters struct {
	// OpenFlows is the number of flows this host owns at the target.
	OpenFlows atomic.Int64
	// FlowRecords is the number of flow records that name the target, copies kept
	// for other owners included. A withdrawn target stays while it is not 0.
	FlowRecords atomic.Int64
	// Openings counts flow openings forwarded.
	Openings atomic.Int64
	// Completed counts openings that the caller's next packet acknowledged.
	Completed atomic.Int64
	// Retransmits counts retransmitted openings and data.
	Retransmits atomic.Int64
	// Resets counts flows the caller or the target reset early.
	Resets atomic.Int64
}

// TargetEntry is a target as traffic sees it.
type TargetEntry struct {
	Target
	Service ServiceNumber
	// Ejected targets get no new flows because of their health.
	Ejected bool
	// Withdrawn targets are gone from the newest release; open flows remain.
	Withdrawn bool
	// ShareMilli scales the target's bound, in thousandths: slow start and
	// reported load. 1000 is a full share.
	ShareMilli uint32
	Counters   *TargetCounters
}

// LookupTable maps the slots of a flow hash to targets of one service.
type LookupTable struct {
	Version ReleaseVersion
	// Slots holds target numbers; its length is a prime.
	Slots []TargetNumber
}

// Lookup returns the target of the slot that the hash selects.
func (t *LookupTable) Lookup(hash uint64) TargetNumber {
	if len(t.Slots) == 0 {
		return 0
	}
	return t.Slots[hash%uint64(len(t.Slots))]
}

// ServiceEntry is a service as traffic sees it.
type ServiceEntry struct {
	Service
	// Tables holds the retained table versions, newest first; the last is the
	// base version.
	Tables []*LookupTable
	// TargetEntries are the service's targets, withdrawn ones with open flows included.
	TargetEntries []*TargetEntry
	// DomainWeights holds the target weights by failure domain, sorted by Domain.
	DomainWeights []DomainWeight
}

// DomainWeight is the sum of the weights of a service's targets in one domain.
type DomainWeight struct {
	Domain DomainID
	// Weight counts every target of the release; it decides who owns flows.
	Weight uint32
	// Usable leaves leaving targets out; it decides where flows are placed.
	Usable uint32
}

// Snapshot is everything that traffic reads. Control publishes a new one for
// each change; it is immutable but for the counters in TargetLoad.
type Snapshot struct {
	Self      Host
	Version   ReleaseVersion
	Customers []Customer
	Services  map[ServiceAddress]*ServiceEntry
	Targets   map[TargetNumber]*TargetEntry
	View      MembershipView
	// Ready is false until a release is in force on this host.
	Ready bool
	// Leaving is true once this host is shutting down.
	Leaving bool
}
