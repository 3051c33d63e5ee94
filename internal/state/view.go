package state

import "net/netip"

// HostStatus is what membership believes of an entry host.
type HostStatus uint8

// Host statuses.
const (
	HostAlive HostStatus = iota
	HostSuspect
	// HostLeaving hosts own no new flows and still answer for their records.
	HostLeaving
	HostDead
)

// Host is an entry host and its addresses.
type Host struct {
	ID     HostID
	Domain DomainID
	// Packets receives IP packets inside UDP from the fabric.
	Packets netip.AddrPort
	// Relay receives relayed packets and record messages from members (UDP).
	Relay netip.AddrPort
	// Control serves net/rpc (TCP).
	Control netip.AddrPort
}

// Member is a host with its believed status.
type Member struct {
	Host
	Status HostStatus
	// Incarnation numbers the run of the host's process; it changes when the host
	// restarts, and its flow records are gone then.
	Incarnation uint64
}

// MembershipView is one host's belief about all entry hosts. It is immutable. Members are
// sorted by ID and hold no dead host.
type MembershipView struct {
	// Epoch grows with each change on this host; views of two hosts do not compare.
	Epoch   uint32
	Members []Member
}
