package steer

import (
	"maps"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// sweep removes idle flows and unused state, and samples the load, once per
// sweepInterval.
func (e *Engine) sweep(now time.Duration) {
	if now < e.nextSweep {
		return
	}
	e.nextSweep = now + sweepInterval
	e.targets.totalLoad.sample()
	idle := defaultIdleTimeout
	if e.view != nil && e.view.IdleTimeout > 0 {
		idle = e.view.IdleTimeout
	}
	for key, f := range e.flows {
		switch {
		case now-f.lastSeen > idle:
			e.removeFlow(key)
		case f.waiting && now-f.lastTransmission > abandonedAfter:
			f.leaveLimiter()
		}
	}
	e.targets.evictUnused(e.knows)
	e.recordRefusals()
	e.expireOverloads(now)
	e.targets.limiters.evictUnused(e.view)
	e.targets.evictUnusedEstimates(e.view)
	if e.shares != nil {
		e.shares.Forget(e.knows)
	}
	maps.DeleteFunc(e.targets.free, func(pool catalog.PoolID, _ *freeTargets) bool { return e.view.Pools[pool] == nil })
	maps.DeleteFunc(e.targets.reaches, func(pool catalog.PoolID, _ *reach) bool { return e.view.Pools[pool] == nil })
	e.unresolved.sweep(now)
	e.resets.sweep(now)
}

// knows reports whether the view has the target, for new flows or for open ones.
func (e *Engine) knows(id catalog.TargetID) bool {
	for _, pool := range e.view.Pools {
		if target := pool.Target(id.Cookie()); target != nil && target.ID == id {
			return true
		}
	}
	return false
}
