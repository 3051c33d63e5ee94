package workers

import (
	"net/netip"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Routes is a snapshot with what the packet path looks up in it. It is
// immutable.
type Routes struct {
	Snapshot *state.Snapshot
	// relays maps hosts to their relay addresses.
	relays map[state.HostID]netip.AddrPort
	// members maps relay addresses to hosts.
	members map[netip.AddrPort]state.HostID
	// lanes maps service addresses to the lane of their customer.
	lanes map[state.ServiceAddress]lane
}

// lane is where a packet waits: the queue of its customer.
type lane struct {
	customer state.CustomerID
	weight   uint32
}

// recordLane is where record messages wait. No customer can have its name.
var recordLane = lane{customer: "record messages", weight: 8}

// NewRoutes indexes a snapshot.
func NewRoutes(snapshot *state.Snapshot) *Routes {
	r := &Routes{
		Snapshot: snapshot,
		relays:   make(map[state.HostID]netip.AddrPort),
		members:  make(map[netip.AddrPort]state.HostID),
		lanes:    make(map[state.ServiceAddress]lane),
	}
	for _, member := range snapshot.View.Members {
		r.relays[member.ID] = member.Relay
		if member.ID != snapshot.Self.ID {
			r.members[member.Relay] = member.ID
		}
	}
	weights := make(map[state.CustomerID]uint32)
	for _, customer := range snapshot.Customers {
		weights[customer.ID] = customer.Weight
	}
	for address, service := range snapshot.Services {
		r.lanes[address] = lane{service.Customer, weights[service.Customer]}
	}
	return r
}

// lane returns where the packet of a job waits. Packets for no service share
// the lane of the empty name.
func (r *Routes) lane(job *Job) lane {
	if job.Record {
		return recordLane
	}
	key := &job.Packet.Key
	return r.lanes[state.ServiceAddress{Protocol: key.Protocol, Address: key.Service}]
}
