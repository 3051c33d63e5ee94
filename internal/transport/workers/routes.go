package workers

import (
	"net/netip"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Routes is a snapshot with the indexes that the packet path looks up. It is
// immutable.
type Routes struct {
	Snapshot *state.Snapshot
	// relayAddresses maps hosts to their relay addresses.
	relayAddresses map[state.HostID]netip.AddrPort
	// hostsByRelay maps the relay addresses of the other hosts to their IDs.
	hostsByRelay map[netip.AddrPort]state.HostID
	// customerLanes maps service addresses to the lane of their customer.
	customerLanes map[state.ServiceAddress]customerLane
}

// customerLane is the fair-queue lane of a customer: its ID and its weight.
type customerLane struct {
	customer state.CustomerID
	weight   uint32
}

// recordLane is the lane of record messages. No customer can have its ID.
var recordLane = customerLane{customer: "record messages", weight: 8}

// next indexes the snapshot that follows that of r. It reuses indexes that have not
// changed: those of hosts while the view's epoch and number of members are the same,
// that of lanes while the release's version is the same.
func (r *Routes) next(snapshot *state.Snapshot) *Routes {
	routes := &Routes{Snapshot: snapshot, relayAddresses: r.relayAddresses, hostsByRelay: r.hostsByRelay, customerLanes: r.customerLanes}
	previous := r.Snapshot
	if previous == nil || previous.View.Epoch != snapshot.View.Epoch || len(previous.View.Members) != len(snapshot.View.Members) {
		routes.indexHosts()
	}
	if previous == nil || previous.Version != snapshot.Version {
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

// laneOf returns the lane of a job. Packets for an unknown service share the lane of
// the empty customer ID.
func (r *Routes) laneOf(job *Job) customerLane {
	if job.IsRecord {
		return recordLane
	}
	key := &job.Packet.Key
	return r.customerLanes[state.ServiceAddress{Protocol: key.Protocol, Address: key.Service}]
}
