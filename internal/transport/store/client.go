// Package store is the client of the platform's object API over HTTP. It
// stands between the system and an outage: timeouts, back-off with full jitter,
// a retry budget and a circuit breaker. Outcomes are values; no call panics or
// returns an error.
package store

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Client runs calls against the platform. It is safe for concurrent use.
type Client struct {
	settings Settings
	base     string
	http     *http.Client
	counters Counters
	budget   *rate.Limiter
	circuit  *circuit
	holdOff  holdOff
}

// NewClient returns a client; it makes no connection yet.
func NewClient(settings Settings, counters Counters) *Client {
	s := settings.withDefaults()
	return &Client{
		settings: s,
		base:     strings.TrimSuffix(s.Address, "/"),
		http:     newHTTPClient(s),
		counters: counters,
		budget:   rate.NewLimiter(rate.Limit(s.RetryRate), s.RetryBurst),
		circuit:  newCircuit(s, counters),
	}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do runs one call. Reads, and writes that certainly did not reach the platform,
// are repeated within the retry budget. A write whose answer was lost is read
// back: found in place it is ResultOK; found not to have run it is repeated under
// its condition; one that can't be told apart stays ResultUnknown, with the
// current object if it could be read.
func (c *Client) Do(ctx context.Context, call objects.Call) objects.Outcome {
	if len(call.Value) > objects.MaxValueSize {
		return c.refuse(causeTooLarge, 0)
	}
	outcome := c.runWithRetries(ctx, call)
	if call.Verb == objects.VerbPut && outcome.Result == objects.ResultUnknown {
		return c.readBack(ctx, call, outcome)
	}
	return outcome
}

// runWithRetries makes the attempts of one call until it is answered, may have runWithRetries or there
// is no more to spend.
func (c *Client) runWithRetries(ctx context.Context, call objects.Call) objects.Outcome {
	delays := c.newBackoff()
	for attempt := 1; ; attempt++ {
		a := c.attempt(ctx, call)
		if !a.retryable(call) {
			return c.finalOutcome(call, a)
		}
		if attempt >= c.settings.MaxAttempts || ctx.Err() != nil {
			return c.finalOutcome(call, a)
		}
		if !c.spendRetry() {
			return c.finalOutcome(call, a)
		}
		if !sleep(ctx, delays.NextBackOff()) {
			return c.finalOutcome(call, a)
		}
		c.counters.Add(CountRetry+string(a.cause), 1)
	}
}

// spendRetry draws on the retry budget.
func (c *Client) spendRetry() bool {
	if c.budget.Allow() {
		return true
	}
	c.counters.Add(CountRefused+string(causeRetryBudget), 1)
	return false
}

// attempt sends the call once, if the circuit and the platform's own hold-off
// let it through.
func (c *Client) attempt(ctx context.Context, call objects.Call) attempt {
	if wait := c.holdOff.remaining(); wait > 0 {
		return attempt{cause: causeHoldOff, retryAfter: wait}
	}
	if call.Verb == objects.VerbWatch && c.circuit.halfOpen() {
		call.Wait = 0
	}
	result, err := c.circuit.execute(func() (attempt, error) {
		a := c.send(ctx, call)
		return a, a.breakerError()
	})
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return attempt{cause: causeCircuitOpen, retryAfter: c.circuit.remaining()}
	}
	if result.cause == causeRateLimited {
		c.holdOff.set(result.retryAfter)
	}
	return result
}

// finalOutcome turns the last attempt into the outcome.
func (c *Client) finalOutcome(call objects.Call, a attempt) objects.Outcome {
	switch {
	case a.hasOutcome:
		return a.outcome
	case a.mayHaveExecuted():
		c.counters.Add(CountUnknown+verbName(call.Verb), 1)
		return objects.Outcome{Result: objects.ResultUnknown, RetryAfter: c.settings.BackoffMin}
	default:
		return c.refuse(a.cause, a.retryAfter)
	}
}

func (c *Client) refuse(reason cause, retryAfter time.Duration) objects.Outcome {
	c.counters.Add(CountRefused+string(reason), 1)
	if reason != causeInvalid && reason != causeTooLarge {
		retryAfter = max(retryAfter, c.settings.BackoffMin)
	}
	return objects.Outcome{Result: objects.ResultRefused, RetryAfter: retryAfter}
}

// newBackoff returns delays with full jitter: uniform from zero to an upper end
// that doubles up to BackOffMax.
func (c *Client) newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     c.settings.BackoffMin / 2,
		MaxInterval:         c.settings.BackoffMax / 2,
		Multiplier:          backoffFactor,
		RandomizationFactor: 1,
	}
}

// sleep waits and tells whether the context still holds.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
