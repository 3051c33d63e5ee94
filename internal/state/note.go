package state

import (
	"net/netip"
	"time"
)

// Note is a decoded release note: the changes from one release to the next.
type Note struct {
	ID NoteID
	// Base is the release version that the note changes; 0 for the first note.
	Base ReleaseVersion
	// Deadline is how long staging may take before the note is refused.
	Deadline time.Duration
	// Without lists the domains that the note goes ahead without.
	Without []DomainID

	AddDomains      []DomainID
	WithdrawDomains []DomainID

	// SetCustomers adds customers or changes their weight.
	SetCustomers      []Customer
	WithdrawCustomers []CustomerID

	AddServices      []ServiceSpec
	ChangeServices   []ServiceChange
	WithdrawServices []ServiceID

	AddTargets      []TargetSpec
	ChangeTargets   []TargetChange
	WithdrawTargets []TargetID
}

// ServiceSpec describes a service to add.
type ServiceSpec struct {
	ID          ServiceID
	Customer    CustomerID
	Protocol    Protocol
	Address     netip.AddrPort
	Way         ForwardingMode
	IdleTimeout time.Duration
}

// ServiceChange changes a service; nil fields stay as they are.
type ServiceChange struct {
	ID          ServiceID
	Way         *ForwardingMode
	IdleTimeout *time.Duration
}

// TargetSpec describes a target to add.
type TargetSpec struct {
	ID          TargetID
	Service     ServiceID
	Domain      DomainID
	Address     netip.AddrPort
	Weight      uint32
	Slots       uint32
	Connections uint32
}

// TargetChange changes a target; nil fields stay as they are.
type TargetChange struct {
	ID          TargetID
	Weight      *uint32
	Slots       *uint32
	Connections *uint32
	Leaving     *bool
}
