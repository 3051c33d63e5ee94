package steer

import (
	"maps"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/estimate"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// maxDomainNoise is the largest random amount, in either direction, that a decision adds to
// the estimates of one failure domain's targets, as a fraction of the domain's mean queue.
// Hosts that know the same figures so don't all select the same domain.
const maxDomainNoise = 1

// estimates are the estimates of one pool's targets by failure domain.
type estimates map[state.DomainID]*domainEstimate

// domainEstimate is the estimate of a pool's targets in one failure domain. noise is what the
// current decision adds to the queue of each of them.
type domainEstimate struct {
	estimate.Domain
	noise float64
}

// of returns the estimate of a failure domain.
func (d estimates) of(domain state.DomainID) *domainEstimate {
	entry := d[domain]
	if entry == nil {
		entry = new(domainEstimate)
		d[domain] = entry
	}
	return entry
}

// evictUnusedEstimates removes the estimates of pools that the view no longer has.
func (t *targetTable) evictUnusedEstimates(view *catalog.View) {
	maps.DeleteFunc(t.estimates, func(pool catalog.PoolID, _ estimates) bool { return view.Pools[pool] == nil })
}

// SetEstimateFrom sets the number of targets of a pool from which new flows are placed by
// estimates of the targets' queues; 0 is never.
func (e *Engine) SetEstimateFrom(targets int) { e.estimateFrom = targets }

// usesEstimates reports whether new flows of a pool are placed by estimates.
func (e *Engine) usesEstimates(pool *catalog.Pool) bool {
	return e.estimateFrom > 0 && len(pool.Offered) >= e.estimateFrom
}

// drawNoise draws the noise of each failure domain for one decision.
func (e *Engine) drawNoise(now time.Duration, pool *catalog.Pool) {
	for _, domain := range e.targets.estimates[pool.ID] {
		domain.noise = maxDomainNoise * (2*e.random() - 1) * domain.Queue(now)
	}
}

// estimatedCost is the cost of a target with its estimated queue.
func (e *Engine) estimatedCost(now time.Duration, target *catalog.Target, r *targetRecord) float64 {
	if r.selected == 0 {
		r.selected = -e.random()
	}
	return e.cost(now, target, r) + r.estimate.Queue(now) + r.domainEstimate.noise
}

// recordEstimate records an answer or a rejection in the estimate of its target.
func (r *targetRecord) recordEstimate(now time.Duration, queue float64, rejected bool) {
	if rejected {
		r.estimate.RecordRejection(now)
		return
	}
	r.estimate.RecordAnswer(now, queue)
}
