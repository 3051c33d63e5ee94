package state

import "net/netip"

// HostStatus is the status of an entry host according to the membership protocol.
type HostStatus uint8

const (
	HostAlive HostStatus = iota
	HostSuspect
	// HostLeaving hosts own no new flows but still handle the flows that they have
	// records of.
	HostLeaving
	HostDead
)

// Host is an entry host and its addresses.
type Host struct {
	ID     HostID
	Domain DomainID
	// Packets receives clients' IP packets from the fabric, encapsulated in UDP.
	Packets netip.AddrPort
	// Relay receives relayed packets and flow record messages from other hosts (UDP).
	Relay netip.AddrPort
	// Control serves net/rpc (TCP).
	Control netip.AddrPort
}

// Member is a host with its membership status.
type Member struct {
	Host
	Status HostStatus
	// Run identifies one run of the host's process. It changes when the host
	// restarts, which loses the host's flow records.
	Run uint64
}

// MembershipView is one host's view of the status of all entry hosts. It is
// immutable. Members are sorted by ID and exclude dead hosts.
type MembershipView struct {
	// Epoch increases with each change of this host's view; epochs of different hosts
	// are not comparable.
	Epoch   uint32
	Members []Member
}
