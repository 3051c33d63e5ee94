package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// selectTarget returns the target of the pool with the lowest cost that was not tried
// yet. Targets in their slow start are left to the flows that no other target can take. If
// all are to be avoided it returns the cheapest anyway: a wrong suspicion must not refuse
// flows that could be served. Where slow starts are shared out, that holds for this host's
// share only.
func (e *Engine) selectTarget(now time.Duration, pool *catalog.Pool, tried []*targetRecord) (*catalog.Target, *targetRecord) {
	choose, cost := e.randomCheaper, e.cost
	if e.usesEstimates(pool) {
		e.drawNoise(now, pool)
		choose, cost = leastRecentCheaper, e.estimatedCost
	}
	var best, slow, fallback candidate
	for _, target := range pool.Offered {
		r := e.targets.getOrCreate(target, now)
		if contains(tried, r) {
			continue
		}
		c := candidate{target: target, record: r, cost: cost(now, target, r)}
		limited := r.slowStart(now, target) && !e.ownsSlowStart(now, target, r)
		switch {
		case limited && e.shares != nil:
			// Without a share a target in its slow start gets nothing.
		case r.avoided(now):
			fallback = choose(fallback, c)
		case limited:
			slow = choose(slow, c)
		default:
			best = choose(best, c)
		}
	}
	for _, next := range []candidate{slow, fallback} {
		if best.target == nil {
			best = next
		}
	}
	if best.target != nil {
		e.targets.markSelected(best.record)
		e.recordSlowStart(now, best.target, best.record)
	}
	return best.target, best.record
}

// slowStart reports whether the target may bear few requests a second since it has started.
// One that was down may have, before its entry tells, and one that is down before a check
// tells.
func (r *targetRecord) slowStart(now time.Duration, target *catalog.Target) bool {
	if target.SlowStart.Length == 0 {
		return false
	}
	return r.down || now < max(target.SlowUntil, r.upSince+target.SlowStart.Length)
}

// ownsSlowStart reports whether this host may send the target, which is in its slow start, a
// new flow of its share.
func (e *Engine) ownsSlowStart(now time.Duration, target *catalog.Target, r *targetRecord) bool {
	return e.shares != nil && r.local && e.shares.MayUse(now, target.ID, target.SlowStart.PerSecond)
}

// recordSlowStart counts a new flow to a target in its slow start.
func (e *Engine) recordSlowStart(now time.Duration, target *catalog.Target, r *targetRecord) {
	if e.shares != nil && r.slowStart(now, target) && e.ownsSlowStart(now, target, r) {
		e.shares.RecordUse(target.ID)
	}
}

// candidate is a target considered for a new flow.
type candidate struct {
	target *catalog.Target
	record *targetRecord
	cost   float64
	ties   int
}

// leastRecentCheaper returns the cheaper of two candidates, and of equal ones that which
// this host selected longer ago. Equal targets so take turns.
func leastRecentCheaper(c, other candidate) candidate {
	if c.target == nil || other.cost < c.cost || other.cost == c.cost && other.record.selected < c.record.selected {
		return other
	}
	return c
}

// randomCheaper returns the cheaper of two candidates. Among equal ones each has the same
// chance, so that hosts don't all select the same target.
func (e *Engine) randomCheaper(c, other candidate) candidate {
	switch {
	case c.target == nil || other.cost < c.cost:
		other.ties = 1
		return other
	case other.cost > c.cost:
		return c
	}
	other.ties = c.ties + 1
	if e.random()*float64(other.ties) < 1 {
		return other
	}
	c.ties = other.ties
	return c
}

// cost estimates how long the requests of a new flow wait at a target, in requests per
// slot, from the flows that pass through this host.
func (e *Engine) cost(now time.Duration, target *catalog.Target, r *targetRecord) float64 {
	load := float64(r.pendingSYNs+r.waiting+1) + openFlowCost*float64(r.openFlows)
	cost := load / float64(target.Slots)
	if !r.local {
		cost += remoteCost
	}
	if now < r.warmUpUntil {
		cost += warmUpCost
	}
	return cost
}

func contains(list []*targetRecord, r *targetRecord) bool {
	for _, item := range list {
		if item == r {
			return true
		}
	}
	return false
}

// selectPool selects a pool of a route at random by weight.
func (e *Engine) selectPool(route *catalog.RouteEntry) *catalog.Pool {
	if len(route.Shares) == 1 {
		return route.Shares[0].Pool
	}
	total := 0
	for _, share := range route.Shares {
		total += share.Weight
	}
	remaining := int(e.random() * float64(total))
	for _, share := range route.Shares {
		if remaining < share.Weight {
			return share.Pool
		}
		remaining -= share.Weight
	}
	return route.Shares[len(route.Shares)-1].Pool
}
