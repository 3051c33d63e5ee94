package state

import (
	"net/netip"
	"time"
)

// Note is a decoded release note: the changes that turn one release into the next.
type Note struct {
	ID NoteID
	// Base is the version of the release that the note applies to; 0 for the first
	// note.
	Base ReleaseVersion
	// Deadline is the longest time that staging may take; after it the note is
	// refused.
	Deadline time.Duration
	// Without lists the failure domains that the note does not wait for: it can be
	// accepted without their staging reports.
	Without []DomainID

	AddDomains      []DomainID
	WithdrawDomains []DomainID

	// SetCustomers adds customers or changes their weights.
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

// ServiceChange changes a service; fields that are nil are left unchanged.
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

// TargetChange changes a target; fields that are nil are left unchanged.
type TargetChange struct {
	ID          TargetID
	Weight      *uint32
	Slots       *uint32
	Connections *uint32
	Leaving     *bool
}
