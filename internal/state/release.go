package state

import (
	"net/netip"
	"time"
)

// Protocol is the transport protocol of a service.
type Protocol uint8

// Protocol values are the protocol numbers of the IP header.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// ForwardingMode selects how the target of a service's flow is found. Release notes
// call it the service's way.
type ForwardingMode uint8

const (
	// ForwardByOwner relays every packet to the host that owns the flow, which keeps
	// a flow record.
	ForwardByOwner ForwardingMode = iota
	// ForwardByHash uses only the newest lookup table and keeps no flow records.
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
	// Weight scales the target's share of new flows; MinWeight to MaxWeight.
	Weight uint32
	// Slots is the number of requests that the target processes concurrently.
	Slots uint32
	// Connections is the target's connection limit.
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
	// Address is the virtual address that clients send packets to.
	Address netip.AddrPort
	// Way is the forwarding mode.
	Way ForwardingMode
	// IdleTimeout is the time after which the record of a flow without packets
	// expires.
	IdleTimeout time.Duration
	// Targets are sorted by ID.
	Targets []Target
	// Retired are the most recently withdrawn targets, oldest first, at most
	// MaxRetired. They get no new flows, but every host can still forward the flows
	// that were opened there.
	Retired []Target
}

// MaxRetired is the maximum length of Service.Retired.
const MaxRetired = 32

// Release is the complete desired state after a release note was accepted. It is
// immutable; Services and Customers are sorted by ID.
type Release struct {
	Version ReleaseVersion
	// Note is the release note that produced this release.
	Note NoteID
	// Domains are the failure domains that take part in releases, sorted.
	Domains   []DomainID
	Customers []Customer
	Services  []Service
	// NextNumber is the next number to assign; targets and services share one
	// sequence.
	NextNumber uint32
}
