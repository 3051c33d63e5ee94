// Package edgeapi defines what operators can ask a host on the users' platform, over
// net/rpc at its control address.
package edgeapi

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Version is the version of this interface; a query of another is refused.
const Version = 1

// Names of the service and its methods.
const (
	Service       = "Edge"
	MethodConfig  = Service + ".Config"
	MethodTargets = Service + ".Targets"
	MethodHost    = Service + ".Host"
)

// Query asks a host.
type Query struct {
	Version int
	// Pool filters targets; empty means all.
	Pool catalog.PoolID
}

// ConfigReply is the configuration in force.
type ConfigReply struct {
	Host state.HostID
	// Version is 0 while no configuration is known.
	Version uint64
	// Age is the time since a read was asked for that found no newer one.
	Age    time.Duration
	Routes []Route
}

// Route tells where flows to one address go.
type Route struct {
	Name       string
	Address    netip.AddrPort
	Pools      []catalog.PoolWeight
	Idempotent bool
	Priority   int
	// Targets is the number of targets that take new flows.
	Targets int
}

// State tells what a target is to new flows.
type State string

// States.
const (
	// StateOffered targets take new flows.
	StateOffered State = "offered"
	// StateDraining targets are about to leave.
	StateDraining State = "draining"
	// StateLeft targets have no entry; their open flows go on.
	StateLeft State = "left"
)

// Health tells whether a host believes that a target answers.
type Health string

// Beliefs.
const (
	// HealthUnseen is that of a target without a flow through the host.
	HealthUnseen Health = "unseen"
	// HealthUp is that of a target with nothing against it.
	HealthUp Health = "answers"
	// HealthChecking is that of a target that left something unanswered and is being
	// checked.
	HealthChecking Health = "being checked"
	// HealthDown is that of a target that failed its check.
	HealthDown Health = "does not answer"
)

// TargetsReply is the targets as a host sees them.
type TargetsReply struct {
	Host state.HostID
	// Age is the time since a read was asked for that found no newer entries.
	Age     time.Duration
	Targets []Target
}

// Target is one target.
type Target struct {
	Name    string
	Pool    catalog.PoolID
	Domain  state.DomainID
	Address netip.AddrPort
	State   State
	Belief  Health
	// Missed is the number of openings and repeats in a row without an answer.
	Missed int
	// Silence is the time since the last answer seen here, 0 for an unseen target.
	Silence time.Duration
	// Open and Waiting count the flows through this host, and those with a request
	// that is not answered yet.
	Open    int
	Waiting int
}

// HostReply tells how a host stands.
type HostReply struct {
	Host   state.HostID
	Domain state.DomainID
	// Build is the version of the program.
	Build   string
	Uptime  time.Duration
	Ready   bool
	Leaving bool
	// Config is the version of the configuration in force, ConfigAge and TargetsAge
	// the times since the newest whole reads were asked for.
	Config     uint64
	ConfigAge  time.Duration
	TargetsAge time.Duration
	// StoreAway tells that the newest call to the store failed.
	StoreAway bool
	// Asks is the host that this one asks for changes, the zero address for the store.
	Asks netip.AddrPort
	// AskedBy are the hosts that ask this one.
	AskedBy []netip.AddrPort
	Flows   int
}
