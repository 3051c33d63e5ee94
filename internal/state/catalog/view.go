package catalog

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Pool is a pool with its targets.
type Pool struct {
	ID PoolID
	// Offered are the targets that take new flows, sorted by ID.
	Offered []*Target
	// Drained is the number of targets that would take new flows if their failure domain
	// was not drained.
	Drained int
	// targets holds every target that may have open flows, by cookie.
	targets map[Cookie]*Target
}

// Target returns the target with the cookie, or nil.
func (p *Pool) Target(cookie Cookie) *Target { return p.targets[cookie] }

// Targets returns every target that may have open flows, in any order.
func (p *Pool) Targets() iter.Seq[*Target] { return maps.Values(p.targets) }

// All returns every target that may have open flows, sorted by name.
func (p *Pool) All() []*Target {
	return slices.SortedFunc(maps.Values(p.targets), func(a, b *Target) int { return cmp.Compare(a.Name, b.Name) })
}

// PoolShare is a pool with its relative weight in a route's new flows.
type PoolShare struct {
	Pool   *Pool
	Weight int
}

// RouteEntry is a route with its pools.
type RouteEntry struct {
	Route
	// Shares are the pools that take new flows.
	Shares []PoolShare
	// FormerPools are pools that the route used in earlier configuration versions;
	// they may still have open flows.
	FormerPools []*Pool
}

// Target returns the target of an established flow, or nil if no target in the
// route's current or former pools has the cookie.
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

// View is an immutable snapshot of the configuration and the targets.
type View struct {
	// Version is the configuration version, 0 while no configuration is known.
	Version     uint64
	IdleTimeout time.Duration
	// Listed reports whether the complete list of targets has been read at least
	// once.
	Listed bool
	// Complete reports whether every running target is known, but for those of Unreadable.
	Complete bool
	// Unreadable are the cookies of targets whose entries could not be decoded.
	Unreadable map[Cookie]bool
	// StoreCertain reports whether a read of the store shows what was acknowledged last. A
	// store that was just restored from a backup may have lost that.
	StoreCertain bool
	// DrainsKnown reports whether the drained domains are known, or no longer waited for.
	DrainsKnown bool
	// DrainedDomains are the failure domains whose targets get no new flow.
	DrainedDomains map[state.DomainID]bool
	// SlowStarts reports whether the targets of any pool have a limited slow start.
	SlowStarts bool
	// RemovedAddresses are the addresses that had a route in an earlier configuration
	// version and have none now.
	RemovedAddresses map[netip.AddrPort]bool
	Routes           map[netip.AddrPort]*RouteEntry
	Pools            map[PoolID]*Pool
}

// HasTarget reports whether a target of any pool has the cookie.
func (v *View) HasTarget(cookie Cookie) bool {
	for _, pool := range v.Pools {
		if pool.Target(cookie) != nil {
			return true
		}
	}
	return false
}

// MayRun reports whether a running target may have the cookie.
func (v *View) MayRun(cookie Cookie) bool {
	return !v.Complete || v.Unreadable[cookie] || v.HasTarget(cookie)
}

// CanDecide reports whether the view is sufficient to decide about packets: a
// configuration and the drained domains are known, and either the complete list of targets was read or at
// least one target takes new flows. It may be called on a nil view.
func (v *View) CanDecide() bool {
	return v != nil && v.Version != 0 && v.DrainsKnown && (v.Listed || v.hasOffered())
}

// Ready reports whether new flows can be served: a configuration, the drained domains and
// at least one target that takes new flows are known. It may be called on a nil view.
func (v *View) Ready() bool {
	return v != nil && v.Version != 0 && v.DrainsKnown && v.hasOffered()
}

func (v *View) hasOffered() bool {
	for _, pool := range v.Pools {
		if len(pool.Offered) > 0 {
			return true
		}
	}
	return false
}
