package peers

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// backoffMin is how long a host is not polled after a failure. It doubles with each
	// further failure up to backoffMax.
	backoffMin = time.Second
	backoffMax = 16 * time.Second
	// maxStaleAnswers is the number of consecutive stale answers that count as a failure.
	// A host that was not polled before answers stale until it reads the store again.
	maxStaleAnswers = 4
	// maxDoublings bounds the growth of the backoff.
	maxDoublings = 4
	// redirectLifetime is how long, on average, a redirect is followed before the seeds
	// are tried again, so that groups of hosts that have become small dissolve. The
	// lifetime is drawn from 0.5 to 1.5 times this value, so that hosts do not return to
	// the seeds all at once.
	redirectLifetime = 10 * time.Minute
)

// Random returns a number in [0, 1).
type Random func() float64

// Chooser picks the host to poll. It is not safe for concurrent use. Times are counted
// from the start of the process.
type Chooser struct {
	self   netip.AddrPort
	seeds  []netip.AddrPort
	random Random
	// redirect is the host that another one named in its place. It is polled before the
	// seeds until redirectUntil.
	redirect      netip.AddrPort
	redirectUntil time.Duration
	backoffs      map[netip.AddrPort]backoff
}

// backoff is the state of a host that failed or whose data was too old.
type backoff struct {
	until        time.Duration
	failures     int
	staleAnswers int
}

// NewChooser returns a chooser for a host at self, which may be a seed. Without seeds
// Pick finds no host.
func NewChooser(self netip.AddrPort, seeds []netip.AddrPort, random Random) *Chooser {
	return &Chooser{self: self, seeds: slices.Clone(seeds), random: random, backoffs: make(map[netip.AddrPort]backoff)}
}

// Pick returns the host to poll; the result is false if there is none. A seed polls only
// seeds earlier in the list, so that the first one reads the store. If its calls to the
// store fail, it polls any seed.
func (c *Chooser) Pick(now time.Duration, storeFailing bool) (netip.AddrPort, bool) {
	if c.redirect.IsValid() && now < c.redirectUntil && c.available(now, c.redirect) {
		return c.redirect, true
	}
	for _, seed := range c.seeds {
		if seed == c.self && !storeFailing {
			return netip.AddrPort{}, false
		}
		if seed != c.self && c.available(now, seed) {
			return seed, true
		}
	}
	return netip.AddrPort{}, false
}

func (c *Chooser) available(now time.Duration, host netip.AddrPort) bool {
	return now >= c.backoffs[host].until
}

// ReportSuccess records that a host's answer was usable. redirect is the host to poll in
// its place, the zero address for none.
func (c *Chooser) ReportSuccess(now time.Duration, host, redirect netip.AddrPort) {
	delete(c.backoffs, host)
	if redirect.IsValid() && redirect != c.self {
		c.redirect = redirect
		c.redirectUntil = now + redirectLifetime/2 + time.Duration(c.random()*float64(redirectLifetime))
	}
}

// ReportStale records that the data in a host's answer was too old. maxStaleAnswers in a
// row count as a failure.
func (c *Chooser) ReportStale(now time.Duration, host netip.AddrPort) {
	state := c.backoffs[host]
	state.staleAnswers++
	c.backoffs[host] = state
	if state.staleAnswers >= maxStaleAnswers {
		c.ReportFailure(now, host)
	}
}

// ReportFailure records that a host did not answer or did not know the objects. The host
// is not polled again before its backoff ends. If the host is the current redirect, the
// redirect is dropped and there is no backoff.
func (c *Chooser) ReportFailure(now time.Duration, host netip.AddrPort) {
	failures := c.backoffs[host].failures
	delay := min(backoffMax, backoffMin<<min(failures, maxDoublings))
	c.backoffs[host] = backoff{until: now + delay, failures: failures + 1}
	if host == c.redirect {
		c.redirect = netip.AddrPort{}
		delete(c.backoffs, host)
	}
}
