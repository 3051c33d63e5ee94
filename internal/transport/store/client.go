// Package store is an HTTP client for the platform's object API. Timeouts, backoff with
// full jitter, a retry budget and a circuit breaker limit the effect of platform outages.
// Calls return an objects.Outcome and neither return an error nor panic.
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

// Client calls the platform's object API. It is safe for concurrent use.
type Client struct {
	settings    Settings
	baseURL     string
	http        *http.Client
	counters    Counters
	retryBudget *rate.Limiter
	circuit     *circuit
	holdOff     holdOff
}

// NewClient returns a client. Connections are opened by the first calls.
func NewClient(settings Settings, counters Counters) *Client {
	s := settings.withDefaults()
	return &Client{
		settings:    s,
		baseURL:     strings.TrimSuffix(s.Address, "/"),
		http:        newHTTPClient(s),
		counters:    counters,
		retryBudget: rate.NewLimiter(rate.Limit(s.RetryRate), s.RetryBurst),
		circuit:     newCircuit(s, counters),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do executes one call. Gets, lists, and calls that certainly did not reach the
// platform are retried within the retry budget. After a write without a definite
// response the object is read back, within the same budget. If it holds the written
// value, the result is ResultOK; if the write was not executed, it is retried with the
// same expected version. Otherwise the result stays ResultUnknown, with the current
// object if another write has replaced it.
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

// runWithRetries makes attempts at one call until one gives an outcome or must not be
// retried, or until the attempts, the retry budget or the context are exhausted.
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

// spendRetry takes one retry from the retry budget and reports whether there was one left.
func (c *Client) spendRetry() bool {
	if c.retryBudget.Allow() {
		return true
	}
	c.counters.Add(CountRefused+string(causeRetryBudget), 1)
	return false
}

// attempt sends the call once unless the circuit is open or the platform's rate limit
// still holds it off. A watch that probes a half-open circuit doesn't wait for changes.
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

// finalOutcome returns the outcome of a call whose last attempt is a.
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

// newBackoff returns delays with full jitter: uniformly distributed from zero to an
// upper bound that starts at BackoffMin and doubles up to BackoffMax.
func (c *Client) newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     c.settings.BackoffMin / 2,
		MaxInterval:         c.settings.BackoffMax / 2,
		Multiplier:          backoffFactor,
		RandomizationFactor: 1,
	}
}

// sleep waits for d and reports whether it did so before the context ended.
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
