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
	// customers maps customers to their index.
	customers map[state.CustomerID]int
}

// NewRoutes indexes a snapshot.
func NewRoutes(snapshot *state.Snapshot) *Routes {
	r := &Routes{
		Snapshot:  snapshot,
		relays:    make(map[state.HostID]netip.AddrPort),
		members:   make(map[netip.AddrPort]state.HostID),
		customers: make(map[state.CustomerID]int),
	}
	for _, member := range snapshot.View.Members {
		r.relays[member.ID] = member.Relay
		if member.ID != snapshot.Self.ID {
			r.members[member.Relay] = member.ID
		}
	}
	for i, customer := range snapshot.Customers {
		r.customers[customer.ID] = i
	}
	return r
}
