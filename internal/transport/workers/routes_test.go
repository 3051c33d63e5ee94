package workers

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
)

// routesSnapshot has hosts a1 (this one) and b1, and one service.
func routesSnapshot(customer state.CustomerID) *state.Snapshot {
	self := state.Host{ID: "a1", Relay: netip.MustParseAddrPort("127.0.0.1:1")}
	peer := state.Host{ID: "b1", Relay: netip.MustParseAddrPort("127.0.0.2:1")}
	address := state.ServiceAddress{Protocol: state.TCP, Address: netip.MustParseAddrPort("198.51.100.1:443")}
	return &state.Snapshot{
		Self:      self,
		Customers: []state.Customer{{ID: customer, Weight: 3}},
		Services: map[state.ServiceAddress]*state.ServiceEntry{
			address: {Service: state.Service{Customer: customer}},
		},
		View: state.MembershipView{Epoch: 1, Members: []state.Member{{Host: self}, {Host: peer}}},
	}
}

func TestRoutesFollowViewAndRelease(t *testing.T) {
	first := new(Routes).next(routesSnapshot("large"))
	require.Equal(t, map[netip.AddrPort]state.HostID{netip.MustParseAddrPort("127.0.0.2:1"): "b1"}, first.hostsByRelay)
	require.Len(t, first.relayAddresses, 2)
	job := new(Job)
	job.Packet.Key = state.FlowKey{Protocol: state.TCP, Service: netip.MustParseAddrPort("198.51.100.1:443")}
	require.Equal(t, customerLane{"large", 3}, first.laneOf(job))
	require.Equal(t, recordLane, first.laneOf(&Job{IsRecord: true}))
	require.Equal(t, customerLane{}, first.laneOf(new(Job)))

	moved := routesSnapshot("large")
	moved.View.Epoch++
	moved.View.Members[1].Relay = netip.MustParseAddrPort("127.0.0.3:1")
	second := first.next(moved)
	require.Equal(t, map[netip.AddrPort]state.HostID{netip.MustParseAddrPort("127.0.0.3:1"): "b1"}, second.hostsByRelay)

	released := routesSnapshot("small")
	released.Version++
	require.Equal(t, customerLane{"small", 3}, first.next(released).laneOf(job))
}
