package workers

import (
	"net/netip"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Routes is a snapshot with what the packet path looks up in it. It is
// immutable.
type Routes struct {
	Snapshot *state.Snapshot
	// relayAddresses maps hosts to their relay addresses.
	relayAddresses map[state.HostID]netip.AddrPort
	// hostsByRelay maps relay addresses to hosts.
	hostsByRelay map[netip.AddrPort]state.HostID
	// customerLanes maps service addresses to the lane of their customer.
	customerLanes map[state.ServiceAddress]customerLane
}

// customerLane is where a packet waits: the queue of its customer.
type customerLane struct {
	customer state.CustomerID
	weight   uint32
}

// recordLane is where record messages wait. No customer can have its name.
var recordLane = customerLane{customer: "record messages", weight: 8}

// next indexes the snapshot after the one of r. It takes over what has not
// changed: hosts with the view's epoch, lanes with the release's version.
func (r *Routes) next(snapshot *state.Snapshot) *Routes {
	routes := &Routes{Snapshot: snapshot, relayAddresses: r.relayAddresses, hostsByRelay: r.hostsByRelay, customerLanes: r.customerLanes}
	before := r.Snapshot
	if before == nil || before.View.Epoch != snapshot.View.Epoch || len(before.View.Members) != len(snapshot.View.Members) {
		routes.indexHosts()
	}
	if before == nil || before.Version != snapshot.Version {
		routes.indexCustomerLanes()
	}
	return routes
}

func (r *Routes) indexHosts() {
	members := r.Snapshot.View.Members
	r.relayAddresses = make(map[state.HostID]netip.AddrPort, len(members))
	r.hostsByRelay = make(map[netip.AddrPort]state.HostID, len(members))
	for _, member := range members {
		r.relayAddresses[member.ID] = member.Relay
		if member.ID != r.Snapshot.Self.ID {
			r.hostsByRelay[member.Relay] = member.ID
		}
	}
}

func (r *Routes) indexCustomerLanes() {
	weights := make(map[state.CustomerID]uint32, len(r.Snapshot.Customers))
	for _, customer := range r.Snapshot.Customers {
		weights[customer.ID] = customer.Weight
	}
	r.customerLanes = make(map[state.ServiceAddress]customerLane, len(r.Snapshot.Services))
	for address, service := range r.Snapshot.Services {
		r.customerLanes[address] = customerLane{service.Customer, weights[service.Customer]}
	}
}

// laneOf returns where the packet of a job waits. Packets for no service share
// the laneOf of the empty name.
func (r *Routes) laneOf(job *Job) customerLane {
	if job.IsRecord {
		return recordLane
	}
	key := &job.Packet.Key
	return r.customerLanes[state.ServiceAddress{Protocol: key.Protocol, Address: key.Service}]
}
