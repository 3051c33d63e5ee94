package admission

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Times of a Rate.
const (
	// interval is how often shares are computed afresh.
	interval = 100 * time.Millisecond
	// maxIdleIntervals is how many intervals a silent customer keeps its place.
	maxIdleIntervals = 100
	// smoothing is the part of the newest interval in the expected demand.
	smoothing = 0.25
	// headroom scales the expected demand, so that it may grow.
	headroom = 1.25
)

// account is one customer's use of a Rate.
type account struct {
	weight float64
	// requested and used count the current interval.
	requested float64
	admitted  float64
	// expected is the smoothed demand of an interval.
	expected float64
	// share is what the customer may use in the current interval.
	share         float64
	idleIntervals int
}

// RateLimiter admits events, so many a second in all, shared among customers. A
// customer can always use its weight's part of the capacity; what others have
// not asked for lately is lent to those that want more.
type RateLimiter struct {
	// capacity is the number of events in an interval.
	capacity     float64
	accounts     map[state.CustomerID]*account
	nextInterval time.Time
}

// NewRateLimiter returns a Rate for so many events a second; 0 admits everything.
func NewRateLimiter(perSecond float64) *RateLimiter {
	return &RateLimiter{
		capacity: perSecond * interval.Seconds(),
		accounts: make(map[state.CustomerID]*account),
	}
}

// Admit reports whether a customer may have one more event now.
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

// RetryAfter is the time until the shares are computed afresh.
func (r *RateLimiter) RetryAfter(now time.Time) time.Duration {
	return max(r.nextInterval.Sub(now), 0)
}

// startInterval begins a new interval. Intervals without any event count as one.
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

// updateShares computes what each customer may use.
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
