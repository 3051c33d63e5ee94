package admission

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Parameters of a RateLimiter.
const (
	// interval is the time between two computations of the shares.
	interval = 100 * time.Millisecond
	// maxIdleIntervals is the number of intervals without a request after which a
	// customer's account is removed.
	maxIdleIntervals = 100
	// smoothing is the weight of the newest interval in the expected demand when demand
	// falls; a rise counts at once.
	smoothing = 0.25
	// headroom scales the expected demand, so that demand can grow.
	headroom = 1.25
)

// account holds one customer's demand and share.
type account struct {
	weight float64
	// requested and admitted count events of the current interval.
	requested float64
	admitted  float64
	// expected is the smoothed demand per interval.
	expected float64
	// share is the number of events that the customer may have in the current interval.
	share         float64
	idleIntervals int
}

// RateLimiter limits the total rate of events and divides it among customers. A customer
// can always use its share of the capacity by weight. Capacity for which others have had
// no recent demand is lent to customers that demand more.
type RateLimiter struct {
	// capacity is the number of events in an interval.
	capacity     float64
	accounts     map[state.CustomerID]*account
	nextInterval time.Time
}

// NewRateLimiter returns a limiter for perSecond events a second; 0 admits every event.
func NewRateLimiter(perSecond float64) *RateLimiter {
	return &RateLimiter{
		capacity: perSecond * interval.Seconds(),
		accounts: make(map[state.CustomerID]*account),
	}
}

// Admit reports whether a customer may have one more event now, and counts it.
func (r *RateLimiter) Admit(now time.Time, id state.CustomerID, weight uint32) bool {
	if r.capacity == 0 {
		return true
	}
	if !now.Before(r.nextInterval) {
		r.startInterval(now)
	}
	a := r.accounts[id]
	if a == nil {
		a = &account{}
		r.accounts[id] = a
	}
	if a.weight != float64(max(weight, 1)) {
		a.weight = float64(max(weight, 1))
		r.updateShares()
	}
	a.requested++
	if a.admitted >= a.share {
		return false
	}
	a.admitted++
	return true
}

// RetryAfter returns the time until the next interval, with new shares, can start.
func (r *RateLimiter) RetryAfter(now time.Time) time.Duration {
	return max(r.nextInterval.Sub(now), 0)
}

// startInterval starts a new interval and updates the expected demands. Consecutive
// intervals without any event count as one.
func (r *RateLimiter) startInterval(now time.Time) {
	r.nextInterval = now.Add(interval)
	for id, a := range r.accounts {
		a.idleIntervals++
		if a.requested > 0 {
			a.idleIntervals = 0
		}
		if a.idleIntervals > maxIdleIntervals {
			delete(r.accounts, id)
			continue
		}
		a.expected = max(a.requested, a.expected+(a.requested-a.expected)*smoothing)
		a.requested = 0
		a.admitted = 0
	}
	r.updateShares()
}

// updateShares computes the share of each customer: the larger of its share by weight and
// its fair share of the expected demands.
func (r *RateLimiter) updateShares() {
	demands := make([]Demand, 0, len(r.accounts))
	accounts := make([]*account, 0, len(r.accounts))
	totalWeight := 0.0
	for _, a := range r.accounts {
		demands = append(demands, Demand{Weight: a.weight, Want: a.expected * headroom})
		accounts = append(accounts, a)
		totalWeight += a.weight
	}
	for i, fair := range Shares(r.capacity, demands) {
		guaranteed := r.capacity * accounts[i].weight / totalWeight
		accounts[i].share = max(guaranteed, fair)
	}
}
