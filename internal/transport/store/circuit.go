package store

import (
	"sync"
	"time"

	"github.com/sony/gobreaker/v2"
)

// circuitMargin is added to the remaining time of an open circuit. The breaker becomes
// half-open only after its timeout has passed, so a caller that waits for exactly that
// time would still be refused.
const circuitMargin = 1 * time.Millisecond

// circuit wraps the circuit breaker, which rejects calls for openFor after consecutive
// failures, and records when an open circuit lets the next call through.
type circuit struct {
	breaker *gobreaker.CircuitBreaker[attempt]
	openFor time.Duration

	mu        sync.Mutex
	openUntil time.Time
}

func newCircuit(s Settings, counters Counters) *circuit {
	c := &circuit{openFor: s.OpenFor}
	c.breaker = gobreaker.NewCircuitBreaker[attempt](gobreaker.Settings{
		Name:        "platform",
		MaxRequests: 1,
		Timeout:     s.OpenFor,
		ReadyToTrip: func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= s.FailuresToOpen },
		OnStateChange: func(_ string, _, to gobreaker.State) {
			counters.Add(CountCircuit+to.String(), 1)
			c.recordState(to)
		},
		IsExcluded: func(err error) bool { return err == errCancelled },
	})
	return c
}

func (c *circuit) recordState(to gobreaker.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openUntil = time.Time{}
	if to == gobreaker.StateOpen {
		c.openUntil = time.Now().Add(c.openFor + circuitMargin)
	}
}

func (c *circuit) execute(send func() (attempt, error)) (attempt, error) {
	return c.breaker.Execute(send)
}

// halfOpen reports whether the next call is the probe that decides if the circuit closes.
func (c *circuit) halfOpen() bool { return c.breaker.State() == gobreaker.StateHalfOpen }

// remaining returns the time until an open circuit lets a call through.
func (c *circuit) remaining() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, time.Until(c.openUntil))
}

// holdOff is the period after a rate-limit response during which no call is sent. Its
// length comes from the Retry-After header or from Settings.RetryAfter; after several
// responses the latest end applies.
type holdOff struct {
	mu    sync.Mutex
	until time.Time
}

func (h *holdOff) set(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := time.Now().Add(d); until.After(h.until) {
		h.until = until
	}
}

func (h *holdOff) remaining() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, time.Until(h.until))
}
