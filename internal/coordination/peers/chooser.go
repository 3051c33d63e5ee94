package peers

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// backoffMin is how long a host is not asked after it was of no use; it doubles
	// up to holdBackMax.
	backoffMin = time.Second
	backoffMax = 16 * time.Second
	// maxStaleAnswers is the number of answers in a row that may be too old before a host
	// counts as of no use: one that was not asked before reads the store anew first.
	maxStaleAnswers = 4
	// maxDoublings bounds the growth of the time to hold back.
	maxDoublings = 4
	// redirectLifetime is how long a host that another named is asked, on average, before
	// the seeds are tried again: so that groups that have grown small end. It is
	// random, from half of it to one and a half, so that hosts come back one by one.
	redirectLifetime = 10 * time.Minute
)

// Random returns a number from 0 to 1, 1 excluded.
type Random func() float64

// Chooser picks the host to ask. It is not safe for concurrent use. Times are
// counted from the start of the process.
type Chooser struct {
	self   netip.AddrPort
	seeds  []netip.AddrPort
	random Random
	// redirect is the host that another named, asked first until insteadUntil.
	redirect      netip.AddrPort
	redirectUntil time.Duration
	backoffs      map[netip.AddrPort]backoff
}

// backoff is a host that is not asked for a while.
type backoff struct {
	until        time.Duration
	failures     int
	staleAnswers int
}

// NewChooser returns a chooser for a host at self, which may be a seed. No seeds
// leave it nobody to ask.
func NewChooser(self netip.AddrPort, seeds []netip.AddrPort, random Random) *Chooser {
	return &Chooser{self: self, seeds: slices.Clone(seeds), random: random, backoffs: make(map[netip.AddrPort]backoff)}
}

// Pick returns the host to ask, if there is one. Seeds ask only seeds ahead of them,
// so that the first one reads the store; a host whose calls to the store fail asks
// any.
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

// ReportSuccess notes that a host's answer was of use. Instead is a host that it named to
// be asked in its place, the zero address for none.
func (c *Chooser) ReportSuccess(now time.Duration, host, redirect netip.AddrPort) {
	delete(c.backoffs, host)
	if redirect.IsValid() && redirect != c.self {
		c.redirect = redirect
		c.redirectUntil = now + redirectLifetime/2 + time.Duration(c.random()*float64(redirectLifetime))
	}
}

// ReportStale notes that what a host told was too old to go on with.
func (c *Chooser) ReportStale(now time.Duration, host netip.AddrPort) {
	state := c.backoffs[host]
	state.staleAnswers++
	c.backoffs[host] = state
	if state.staleAnswers >= maxStaleAnswers {
		c.ReportFailure(now, host)
	}
}

// ReportFailure notes that a host did not answer, or could not tell.
func (c *Chooser) ReportFailure(now time.Duration, host netip.AddrPort) {
	failures := c.backoffs[host].failures
	delay := min(backoffMax, backoffMin<<min(failures, maxDoublings))
	c.backoffs[host] = backoff{until: now + delay, failures: failures + 1}
	if host == c.redirect {
		c.redirect = netip.AddrPort{}
		delete(c.backoffs, host)
	}
}
