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

// next indexes the snapshot after the one of r. It takes over what has not
// changed: hosts with the view's epoch, lanes with the release's version.
func (r *Routes) next(snapshot *state.Snapshot) *Routes {
	routes := &Routes{Snapshot: snapshot, relays: r.relays, members: r.members, lanes: r.lanes}
	before := r.Snapshot
	if before == nil || before.View.Epoch != snapshot.View.Epoch || len(before.View.Members) != len(snapshot.View.Members) {
		routes.indexHosts()
	}
	if before == nil || before.Version != snapshot.Version {
		routes.indexLanes()
	}
	return routes
}

func (r *Routes) indexHosts() {
	members := r.Snapshot.View.Members
	r.relays = make(map[state.HostID]netip.AddrPort, len(members))
	r.members = make(map[netip.AddrPort]state.HostID, len(members))
	for _, member := range members {
		r.relays[member.ID] = member.Relay
		if member.ID != r.Snapshot.Self.ID {
			r.members[member.Relay] = member.ID
		}
	}
}

func (r *Routes) indexLanes() {
	weights := make(map[state.CustomerID]uint32, len(r.Snapshot.Customers))
	for _, customer := range r.Snapshot.Customers {
		weights[customer.ID] = customer.Weight
	}
	r.lanes = make(map[state.ServiceAddress]lane, len(r.Snapshot.Services))
	for address, service := range r.Snapshot.Services {
		r.lanes[address] = lane{service.Customer, weights[service.Customer]}
	}
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
