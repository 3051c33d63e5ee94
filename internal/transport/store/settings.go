package store

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/platformapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Protocol maps calls of the object API to HTTP requests and decodes response bodies.
// Status codes have the same meaning in every implementation.
type Protocol interface {
	// NewRequest returns the request for a call, or an error if the platform does not
	// support the call. The base URL has no trailing slash.
	NewRequest(ctx context.Context, base string, call objects.Call) (*http.Request, error)
	// DecodeObject decodes the response body of a get or a put.
	DecodeObject(body []byte) (objects.Object, error)
	// DecodePage decodes the response body of a list or a watch.
	DecodePage(body []byte) (objects.Page, error)
	// DecodeEra decodes the store's era from the header of any response. It returns 0 if
	// the header does not hold one.
	DecodeEra(header http.Header) objects.Era
}

// Settings configures a Client. Zero fields take the default values.
type Settings struct {
	// Address is the base URL, such as "http://192.0.2.10:8500".
	Address string
	// Protocol maps calls to HTTP; nil means platformapi.Protocol.
	Protocol Protocol
	// Timeout bounds one attempt. For a watch, the call's Wait is added.
	Timeout time.Duration
	// MaxAttempts bounds the attempts of one call, including the first.
	MaxAttempts int
	// RetryRate and RetryBurst are the retry budget, shared by all calls of the client:
	// retries per second, and retries at once.
	RetryRate  float64
	RetryBurst int
	// BackoffMin and BackoffMax are the least and the greatest upper bound of the random
	// backoff.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// FailuresToOpen is the number of consecutive failures that open the circuit.
	FailuresToOpen uint32
	// OpenFor is how long an open circuit refuses calls before it lets a probe through.
	OpenFor time.Duration
	// RetryAfter is how long calls are held off after a rate-limit response without a valid
	// Retry-After header.
	RetryAfter time.Duration
	// MaxConnections bounds the connections to the platform.
	MaxConnections int
}

// Default values.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultMaxAttempts    = 3
	DefaultRetryRate      = 1.0
	DefaultRetryBurst     = 5
	DefaultBackoffMin     = 100 * time.Millisecond
	DefaultBackoffMax     = 2 * time.Second
	DefaultFailuresToOpen = 5
	DefaultOpenFor        = 2 * time.Second
	DefaultRetryAfter     = 1 * time.Second
	DefaultMaxConnections = 8
)

// backoffFactor multiplies the upper bound of the backoff with each retry.
const backoffFactor = 2

// maxPageSize bounds the response body of a list or a watch, in bytes.
const maxPageSize = 64 << 20

func (s Settings) withDefaults() Settings {
	if s.Protocol == nil {
		s.Protocol = platformapi.Protocol{}
	}
	s.Timeout = cmp.Or(s.Timeout, DefaultTimeout)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, DefaultMaxAttempts)
	s.RetryRate = cmp.Or(s.RetryRate, DefaultRetryRate)
	s.RetryBurst = cmp.Or(s.RetryBurst, DefaultRetryBurst)
	s.BackoffMin = cmp.Or(s.BackoffMin, DefaultBackoffMin)
	s.BackoffMax = cmp.Or(s.BackoffMax, DefaultBackoffMax)
	s.FailuresToOpen = cmp.Or(s.FailuresToOpen, DefaultFailuresToOpen)
	s.OpenFor = cmp.Or(s.OpenFor, DefaultOpenFor)
	s.RetryAfter = cmp.Or(s.RetryAfter, DefaultRetryAfter)
	s.MaxConnections = cmp.Or(s.MaxConnections, DefaultMaxConnections)
	return s
}
