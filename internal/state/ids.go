// Package state holds the plain data that the layers above share: identities,
// services and targets, releases, membership views, flow keys and the snapshot
// that control publishes to traffic. It performs no I/O and reads no clock.
package state

// HostID names an entry host. It is unique in the whole system.
type HostID string

// DomainID names a failure domain.
type DomainID string

// CustomerID names a customer.
type CustomerID string

// ServiceID names a service.
type ServiceID string

// TargetID names a target (upstream). It is unique in the whole system.
type TargetID string

// NoteID names a release note.
type NoteID string

// TargetNumber is the compact identity of a target. Applying a note assigns
// it; it is the same on every host and is never used again. Zero is invalid.
type TargetNumber uint32

// ServiceNumber is the compact identity of a service, assigned like
// TargetNumber. Zero is invalid.
type ServiceNumber uint32

// ReleaseVersion counts accepted releases. Zero means no release yet.
type ReleaseVersion uint64
