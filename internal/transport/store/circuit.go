package store

import (
	"sync"
	"time"

	"github.com/sony/gobreaker/v2"
)

// circuitMargin makes a caller that comes back on time find the circuit ready:
// the breaker moves on only after its timeout.
const circuitMargin = 1 * time.Millisecond

// circuit stops calls for a while after consecutive failures.
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

// halfOpen tells that the next call is the trial after an outage.
func (c *circuit) halfOpen() bool { return c.breaker.State() == gobreaker.StateHalfOpen }

// remaining is the time until an open circuit lets a call through.
func (c *circuit) remaining() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, time.Until(c.openUntil))
}

// holdOff is the time that the platform asked for when it limited the rate.
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
