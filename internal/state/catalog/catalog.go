// Package catalog holds what an entry host knows about routes and targets on a
// platform where the flow's target travels in its packets: the configuration in
// force, the targets, and the immutable View of both that packets are decided by.
package catalog

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// PoolID names a pool: interchangeable targets that routes send flows to.
type PoolID string

// TargetID names one target in the packets sent to it.
type TargetID uint64

// Cookie is what the packets of a flow carry to name their target: the low bits
// of its id.
type Cookie uint32

// Cookie returns the cookie of a target.
func (id TargetID) Cookie() Cookie { return Cookie(id) }

// Target is a running target.
type Target struct {
	ID TargetID
	// Name is the target's id as operators and logs write it.
	Name    string
	Pool    PoolID
	Domain  state.DomainID
	Address netip.AddrPort
	// HealthPath is where the target tells its name and health over HTTP.
	HealthPath string
	// Slots is the number of requests that the target works on at a time.
	Slots int
	// Draining targets are about to leave and get no new flows.
	Draining bool
	// WarmUp is how long the target stays slow, counted from when its entry was
	// written.
	WarmUp time.Duration
	// StartMillis is the Unix millisecond of the target's start. A target that starts
	// again under its id holds no flow of before.
	StartMillis int64
}

// PoolWeight is the share of a route's new flows that a pool gets.
type PoolWeight struct {
	Pool   PoolID
	Weight int
}

// Route tells where flows to one address go.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Pools take the new flows; most routes have one.
	Pools []PoolWeight
	// Idempotent requests may be tried again after a failure.
	Idempotent bool
	// Priority is 0 for the most important requests.
	Priority int
	// LatencyObjective is the latency that clients hope for.
	LatencyObjective time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version     uint64
	Routes      []Route
	IdleTimeout time.Duration
	// HealthPaths holds, for each pool, where its targets tell their name and
	// health over HTTP.
	HealthPaths map[PoolID]string
}
