// Package edgeapi defines the operator interface of guavaedge: net/rpc queries that a
// host answers at its control address.
package edgeapi

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Version is the version of this interface. Queries of another version are refused.
const Version = 1

// Names of the net/rpc service and its methods.
const (
	Service       = "Edge"
	MethodConfig  = Service + ".Config"
	MethodTargets = Service + ".Targets"
	MethodHost    = Service + ".Host"
)

// Query is the argument of all methods.
type Query struct {
	Version int
	// Pool selects the targets of one pool; empty selects all targets.
	Pool catalog.PoolID
}

// ConfigReply is the configuration in force.
type ConfigReply struct {
	Host state.HostID
	// Version is the configuration's version, 0 before the first one is in force.
	Version uint64
	// Age is the time since the newest complete read was requested; no newer version
	// existed then.
	Age    time.Duration
	Routes []Route
}

// Route maps the flows to one address to pools.
type Route struct {
	Name       string
	Address    netip.AddrPort
	Pools      []catalog.PoolWeight
	Idempotent bool
	Priority   int
	// Targets is the number of targets that take new flows.
	Targets int
}

// State is a target's lifecycle state, which decides whether it takes new flows.
type State string

// Lifecycle states of a target.
const (
	// StateOffered targets take new flows.
	StateOffered State = "offered"
	// StateDomainDrained targets would take new flows if their failure domain was not drained.
	StateDomainDrained State = "domain drained"
	// StateDraining targets are about to leave and take no new flows.
	StateDraining State = "draining"
	// StateLeft targets have no entry in the store; their open flows are still forwarded.
	StateLeft State = "left"
)

// Health is a target's health as one host observes it.
type Health string

// Health values of a target.
const (
	// HealthUnseen targets have had no flow through the host.
	HealthUnseen Health = "unseen"
	// HealthUp targets are neither being checked nor down.
	HealthUp Health = "answers"
	// HealthChecking targets left a SYN or a retransmission unanswered and are being
	// checked.
	HealthChecking Health = "being checked"
	// HealthDown targets failed their last check.
	HealthDown Health = "does not answer"
)

// TargetsReply lists the targets as a host observes them.
type TargetsReply struct {
	Host state.HostID
	// Age is the time since the newest complete read was requested; no newer entries
	// existed then.
	Age     time.Duration
	Targets []Target
}

// Target is a target as one host observes it.
type Target struct {
	Name    string
	Pool    catalog.PoolID
	Domain  state.DomainID
	Address netip.AddrPort
	State   State
	Belief  Health
	// Missed is the number of consecutive SYNs and retransmissions without an answer.
	Missed int
	// Silence is the time since the last answer that this host observed, 0 for an
	// unseen target.
	Silence time.Duration
	// Open is the number of the target's flows through this host, Waiting that of flows
	// that await an answer to a request.
	Open    int
	Waiting int
	// Queue is the time that one more request is estimated to wait, in units of the usual
	// time to an answer.
	Queue float64
}

// HostReply is the status of a host.
type HostReply struct {
	Host   state.HostID
	Domain state.DomainID
	// Build is the version of the program.
	Build   string
	Uptime  time.Duration
	Ready   bool
	Leaving bool
	// Config is the version of the configuration in force. ConfigAge and TargetsAge are
	// the times since the newest complete reads were requested.
	Config     uint64
	ConfigAge  time.Duration
	TargetsAge time.Duration
	// DrainedDomains are the failure domains whose targets get no new flow. ReadsDrains
	// reports whether the host reads them, DrainsAge the time since the newest complete read.
	DrainedDomains []state.DomainID
	ReadsDrains    bool
	DrainsAge      time.Duration
	// StoreAway reports whether the latest call to the store failed.
	StoreAway bool
	// Asks is the control address of the host that this one reads changes from, the
	// zero address if it reads from the store.
	Asks netip.AddrPort
	// AskedBy holds the control addresses of the hosts that read changes from this one.
	AskedBy []netip.AddrPort
	Flows   int
}
