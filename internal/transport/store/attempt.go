package store

import (
	"errors"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// attempt is the result of one attempt at a call.
type attempt struct {
	// hasOutcome reports whether the platform's response gives a definite outcome.
	hasOutcome bool
	outcome    objects.Outcome
	// cause is the reason for the failure if there is no definite outcome.
	cause cause
	// sent reports whether the platform may have received the request.
	sent       bool
	retryAfter time.Duration
}

// Errors that attempts report to the circuit breaker.
var (
	errAttemptFailed = errors.New("attempt failed")
	errCancelled     = errors.New("call cancelled")
)

// breakerError returns the error that the circuit breaker counts, nil for a success. A
// platform that limits the rate or rejects a call is available, so this is not a failure.
func (a attempt) breakerError() error {
	switch a.cause {
	case causeNone, causeRateLimited, causeInvalid, causeTooLarge:
		return nil
	case causeCancelled:
		return errCancelled
	}
	return errAttemptFailed
}

// mayHaveExecuted reports whether a write may have taken effect. A read that was
// sent also counts as executed.
func (a attempt) mayHaveExecuted() bool {
	switch a.cause {
	case causeRateLimited, causeInvalid, causeTooLarge:
		return false
	}
	return a.sent
}

// retryable reports whether a retry within the same call may succeed and is safe. A call
// that never connected may always be retried. After a timeout, a lost or malformed
// response or a server error, only a get or a list may.
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
