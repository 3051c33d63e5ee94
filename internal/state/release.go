package state

import (
	"net/netip"
	"time"
)

// Protocol is the transport protocol of a service.
type Protocol uint8

// Protocols, numbered as in the IP header.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// ForwardingMode selects how flows of a service find their target.
type ForwardingMode uint8

// Ways of finding the target of a flow.
const (
	// ForwardByOwner relays every packet to the flow's owner, which keeps a record.
	ForwardByOwner ForwardingMode = iota
	// ForwardByHash uses the newest lookup table alone and keeps no records.
	ForwardByHash
)

// Customer is a tenant whose services share one admission weight.
type Customer struct {
	ID CustomerID
	// Weight is the customer's max-min share weight; at least 1.
	Weight uint32
}

// Target is one upstream of a service.
type Target struct {
	ID     TargetID
	Number TargetNumber
	Domain DomainID
	// Address receives encapsulated packets (UDP).
	Address netip.AddrPort
	// Weight scales the target's share of new flows; 1 to 100.
	Weight uint32
	// Slots is how many requests it works on at once.
	Slots uint32
	// Connections is its connection limit.
	Connections uint32
	// Leaving targets keep their open flows and get no new ones.
	Leaving bool
}

// Service is one virtual address and the targets behind it.
type Service struct {
	ID       ServiceID
	Number   ServiceNumber
	Customer CustomerID
	Protocol Protocol
	// Address is the destination of callers' packets.
	Address netip.AddrPort
	Way     ForwardingMode
	// IdleTimeout ends the record of a flow that sends nothing.
	IdleTimeout time.Duration
	// Targets are sorted by ID.
	Targets []Target
	// Retired are the targets withdrawn last, oldest first, at most MaxRetired.
	// They get no new flows; every host can still forward flows opened there.
	Retired []Target
}

// MaxRetired bounds Service.Retired.
const MaxRetired = 32

// Release is the complete desired state after a note was accepted. It is
// immutable; Services and Customers are sorted by ID.
type Release struct {
	Version ReleaseVersion
	Note    NoteID
	// Domains are the failure domains that take part in releases, sorted.
	Domains   []DomainID
	Customers []Customer
	Services  []Service
	// NextNumber is the next unused TargetNumber and ServiceNumber.
	NextNumber uint32
}
