// Package state defines the data types that the other packages share: identifiers,
// services and targets, releases, membership views, flow keys and the snapshot that
// package control publishes for packet forwarding. It performs no I/O and reads no
// clock.
package state

// HostID identifies an entry host: a load balancer instance that clients' packets
// arrive at. It is unique in the whole system.
type HostID string

// DomainID identifies a failure domain.
type DomainID string

// CustomerID identifies a customer.
type CustomerID string

// ServiceID identifies a service.
type ServiceID string

// TargetID identifies a target (upstream). It is unique in the whole system.
type TargetID string

// NoteID identifies a release note.
type NoteID string

// TargetNumber is the compact identifier of a target. It is assigned when the
// release note that adds the target is applied, is the same on every host and is
// never reused. Zero is invalid.
type TargetNumber uint32

// ServiceNumber is the compact identifier of a service, assigned like
// TargetNumber. Zero is invalid.
type ServiceNumber uint32

// ReleaseVersion is the number of a release, counting accepted releases from 1. Zero
// means that there is no release yet.
type ReleaseVersion uint64
