package store

import (
	"errors"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// attempt is the result of sending a call once.
type attempt struct {
	// hasOutcome tells that the platform gave a definite answer: outcome.
	hasOutcome bool
	outcome  objects.Outcome
	// cause tells why there is no definite answer.
	cause cause
	// sent tells that the platform may have received the request.
	sent       bool
	retryAfter time.Duration
}

// Errors towards the circuit breaker.
var (
	errAttemptFailed    = errors.New("platform did not answer")
	errCancelled = errors.New("call was cancelled")
)

// breakerError is what the circuit breaker counts. A platform that limits the rate
// or refuses a call is up.
func (a attempt) breakerError() error {
	switch a.cause {
	case causeNone, causeRateLimited, causeInvalid, causeTooLarge:
		return nil
	case causeCancelled:
		return errCancelled
	}
	return errAttemptFailed
}

// mayHaveExecuted tells that a write can have taken effect. A read that was sent
// counts as run too.
func (a attempt) mayHaveExecuted() bool {
	switch a.cause {
	case causeRateLimited, causeInvalid, causeTooLarge:
		return false
	}
	return a.sent
}

// retryable tells that repeating the call at once can help and can't harm.
func (a attempt) retryable(call objects.Call) bool {
	if a.hasOutcome {
		return false
	}
	switch a.cause {
	case causeConnect:
		return true
	case causeTimeout, causeResponseLost, causeUnavailable, causeMalformed:
		return call.Verb != objects.VerbPut && call.Verb != objects.VerbWatch
	}
	return false
}

func verbName(v objects.Verb) string {
	switch v {
	case objects.VerbGet:
		return "get"
	case objects.VerbPut:
		return "put"
	case objects.VerbList:
		return "list"
	case objects.VerbWatch:
		return "watch"
	}
	return "other"
}
