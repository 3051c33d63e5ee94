package store

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/platformapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Protocol binds the calls of the object API to HTTP requests and bodies. The
// meaning of status codes is the same for every binding.
type Protocol interface {
	// NewRequest returns the request of a call, or an error for a call that the
	// platform does not offer. The base is a URL without a slash at its end.
	NewRequest(ctx context.Context, base string, call objects.Call) (*http.Request, error)
	// DecodeObject reads the answer to a get or a put.
	DecodeObject(body []byte) (objects.Object, error)
	// DecodePage reads the answer to a list or a watch.
	DecodePage(body []byte) (objects.Page, error)
}

// Settings of a Client. Zero fields take the default values.
type Settings struct {
	// Address is the base URL, such as "http://192.0.2.10:8500".
	Address string
	// Protocol binds calls to HTTP; nil is platformapi.Protocol.
	Protocol Protocol
	// Timeout bounds one attempt; a watch gets its own wait on top.
	Timeout time.Duration
	// MaxAttempts bounds the attempts of one call, the first included.
	MaxAttempts int
	// RetryRate and RetryBurst are the retry budget of the client, in retries a
	// second and in retries at once.
	RetryRate  float64
	RetryBurst int
	// BackoffMin and BackOffMax bound the upper end of the random back-off.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// FailuresToOpen consecutive failures open the circuit.
	FailuresToOpen uint32
	// OpenFor is how long an open circuit refuses calls before it tries one.
	OpenFor time.Duration
	// RetryAfter is the time to hold back after a rate limit that names none.
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

// backoffFactor is the growth of the back-off from one retry to the next.
const backoffFactor = 2

// maxPageSize bounds the body of a list or watch in bytes.
const maxPageSize = 64 << 20

// withDefaults fills in the zero fields.
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
