// Package catalog holds the routes and targets that an entry host knows, on a
// platform where each packet of a flow carries a cookie that identifies its target:
// the configuration in force, the targets, and an immutable View of both that packet
// forwarding uses.
package catalog

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// PoolID identifies a pool: a group of interchangeable targets that routes send
// flows to.
type PoolID string

// TargetID is the numeric identifier of a target, as the packets sent to it carry it.
type TargetID uint64

// Cookie identifies the target of a flow in the client's packets. It is the low 32
// bits of the target's ID, so two targets can have the same cookie.
type Cookie uint32

// Cookie returns the cookie of a target.
func (id TargetID) Cookie() Cookie { return Cookie(id) }

// Target is a target that has, or recently had, an entry in the store.
type Target struct {
	ID TargetID
	// Name is the target's identifier in the store, in logs and for operators.
	Name    string
	Pool    PoolID
	Domain  state.DomainID
	Address netip.AddrPort
	// HealthPath is the HTTP path at which the target reports its name and health.
	HealthPath string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Draining targets are about to leave and get no new flows.
	Draining bool
	// WarmUp is how long the target stays slow after its entry was written.
	WarmUp time.Duration
	// SlowStart is the pool's entry in Config.SlowStarts, zero for none. SlowUntil is until
	// when the target bears few requests only, as far as its entry and its failure domain tell.
	SlowStart SlowStart
	SlowUntil time.Duration
	// StartMillis is the target's start time in Unix milliseconds. A target that
	// restarts under the same ID has lost its earlier flows.
	StartMillis int64
	// Sequence counts what the target has written about itself since its start.
	Sequence uint64
}

// olderThan reports whether the target wrote this entry before the other one.
func (t *Target) olderThan(other *Target) bool {
	if t.StartMillis != other.StartMillis {
		return t.StartMillis < other.StartMillis
	}
	return t.Sequence < other.Sequence
}

// PoolWeight is the relative weight of a pool in a route's new flows.
type PoolWeight struct {
	Pool   PoolID
	Weight int
}

// Route maps the flows to one address to pools.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Pools take the new flows; most routes have a single pool.
	Pools []PoolWeight
	// Idempotent reports whether the route's requests may be retried after a failure.
	Idempotent bool
	// Priority is 0 for the most important requests.
	Priority int
	// LatencyObjective is the latency objective (SLO) of the route's requests.
	LatencyObjective time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version     uint64
	Routes      []Route
	IdleTimeout time.Duration
	// HealthPaths holds, for each pool, the HTTP path at which its targets report
	// their name and health.
	HealthPaths map[PoolID]string
	// SlowStarts holds the slow start of each pool whose targets have a limited one.
	SlowStarts map[PoolID]SlowStart
}

// SlowStart is what a target bears after its start, for a while.
type SlowStart struct {
	Length time.Duration
	// PerSecond is the number of requests a second, from all hosts together.
	PerSecond float64
}
