package catalog

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Pool is the targets of a pool.
type Pool struct {
	ID PoolID
	// Offered are the targets that take new flows.
	Offered []*Target
	// targets holds every target that may have open flows.
	targets map[Cookie]*Target
}

// Target returns the target that a cookie names, or nil.
func (p *Pool) Target(cookie Cookie) *Target { return p.targets[cookie] }

// All returns every target that may have open flows, in the order of their names.
func (p *Pool) All() []*Target {
	return slices.SortedFunc(maps.Values(p.targets), func(a, b *Target) int { return cmp.Compare(a.Name, b.Name) })
}

// PoolShare is a pool with its share of a route's new flows.
type PoolShare struct {
	Pool   *Pool
	Weight int
}

// RouteEntry is a route with its pools.
type RouteEntry struct {
	Route
	// Shares are the pools for new flows.
	Shares []PoolShare
	// FormerPools are pools that an earlier configuration named; open flows may still
	// be there.
	FormerPools []*Pool
}

// Target returns the target of an established flow, or nil if no target that
// the route leads or led to has this cookie.
func (r *RouteEntry) Target(cookie Cookie) *Target {
	for i := range r.Shares {
		if target := r.Shares[i].Pool.Target(cookie); target != nil {
			return target
		}
	}
	for _, pool := range r.FormerPools {
		if target := pool.Target(cookie); target != nil {
			return target
		}
	}
	return nil
}

// View is an immutable picture of configuration and targets.
type View struct {
	// Version is the configuration's, 0 while none is known.
	Version     uint64
	IdleTimeout time.Duration
	// Listed tells that all entries were read once.
	Listed bool
	// Complete tells that every living target is known: a cookie that names none
	// belongs to a target that is gone.
	Complete bool
	// RemovedAddresses are addresses that had a route in an earlier version.
	RemovedAddresses map[netip.AddrPort]bool
	Routes           map[netip.AddrPort]*RouteEntry
	Pools            map[PoolID]*Pool
}

// HasTarget tells whether the cookie names a target of any pool.
func (v *View) HasTarget(cookie Cookie) bool {
	for _, pool := range v.Pools {
		if pool.Target(cookie) != nil {
			return true
		}
	}
	return false
}

// CanDecide tells whether packets can be decided about: a configuration is known,
// and either every target or at least one.
func (v *View) CanDecide() bool {
	return v != nil && v.Version != 0 && (v.Listed || v.hasOffered())
}

// Ready tells whether new flows can be served: a configuration and a target that
// takes them are known.
func (v *View) Ready() bool { return v != nil && v.Version != 0 && v.hasOffered() }

func (v *View) hasOffered() bool {
	for _, pool := range v.Pools {
		if len(pool.Offered) > 0 {
			return true
		}
	}
	return false
}
