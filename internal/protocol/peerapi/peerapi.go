// Package peerapi defines the net/rpc interface between entry hosts on the users'
// platform: one host asks another what it has read from the store.
package peerapi

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Version is the version of this interface. A question of another version is
// answered as if nothing were known.
const Version = 1

// Names of the service and its method.
const (
	Service         = "Reads"
	MethodRead      = Service + ".Read"
	MethodStepAside = Service + ".StepAside"
)

// Query asks what a host has read.
type Query struct {
	Version int
	// From is the control address of the host that asks.
	From  netip.AddrPort
	Reads []Read
}

// Read asks for the objects of a kind.
type Read struct {
	Kind string
	// List asks for all objects whose keys follow Key, instead of what changed after
	// the revision After.
	List  bool
	Key   string
	After uint64
}

// Reply answers a Query. It is empty if the host answers no questions.
type Reply struct {
	// Answers belong to the reads of the query, in their order.
	Answers []Answer
	// Instead is the control address of a host to ask in place of this one; the
	// zero address for none.
	Instead netip.AddrPort
}

// Answer answers a Read.
type Answer struct {
	// Known is unset if the host can't tell; the objects then are not known.
	Known bool
	// TooLarge is set in place of Known if the answer would fill the host's link: the
	// store has to be asked.
	TooLarge bool
	// Age is the time since the read that the answer comes from was asked for,
	// suspensions of the host included.
	Age  time.Duration
	Page objects.Page
	// Doubt is how much longer a missing object may belong to a target that runs:
	// the store was away, and entries have lapsed meanwhile.
	Doubt time.Duration
}

// StepAsideQuery asks whether an overloaded host may step aside.
type StepAsideQuery struct {
	Version int
	// From is the control address of the host that asks.
	From netip.AddrPort
}

// StepAsideReply answers an AsideQuery.
type StepAsideReply struct {
	// For is how long the host may step aside, 0 for not now.
	For time.Duration
}
