package peers

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// holdBackMin is how long a host is not asked after it was of no use; it doubles
	// up to holdBackMax.
	holdBackMin = time.Second
	holdBackMax = 16 * time.Second
	// maxStale is the number of answers in a row that may be too old before a host
	// counts as of no use: one that was not asked before reads the store anew first.
	maxStale = 4
	// maxDoublings bounds the growth of the time to hold back.
	maxDoublings = 4
	// insteadFor is how long a host that another named is asked, on average, before
	// the seeds are tried again: so that groups that have grown small end. It is
	// random, from half of it to one and a half, so that hosts come back one by one.
	insteadFor = 10 * time.Minute
)

// Random returns a number from 0 to 1, 1 excluded.
type Random func() float64

// Chooser picks the host to ask. It is not safe for concurrent use. Times are
// counted from the start of the process.
type Chooser struct {
	self   netip.AddrPort
	seeds  []netip.AddrPort
	random Random
	// instead is the host that another named, asked first until insteadUntil.
	instead      netip.AddrPort
	insteadUntil time.Duration
	held         map[netip.AddrPort]hold
}

// hold is a host that is not asked for a while.
type hold struct {
	until    time.Duration
	failures int
	stale    int
}

// NewChooser returns a chooser for a host at self, which may be a seed. No seeds
// leave it nobody to ask.
func NewChooser(self netip.AddrPort, seeds []netip.AddrPort, random Random) *Chooser {
	return &Chooser{self: self, seeds: slices.Clone(seeds), random: random, held: make(map[netip.AddrPort]hold)}
}

// Pick returns the host to ask, if there is one. Seeds ask only seeds ahead of them,
// so that the first one reads the store; a host whose calls to the store fail asks
// any.
func (c *Chooser) Pick(now time.Duration, storeAway bool) (netip.AddrPort, bool) {
	if c.instead.IsValid() && now < c.insteadUntil && c.free(now, c.instead) {
		return c.instead, true
	}
	for _, seed := range c.seeds {
		if seed == c.self && !storeAway {
			return netip.AddrPort{}, false
		}
		if seed != c.self && c.free(now, seed) {
			return seed, true
		}
	}
	return netip.AddrPort{}, false
}

func (c *Chooser) free(now time.Duration, host netip.AddrPort) bool { return now >= c.held[host].until }

// ReportSuccess notes that a host's answer was of use. Instead is a host that it named to
// be asked in its place, the zero address for none.
func (c *Chooser) ReportSuccess(now time.Duration, host, instead netip.AddrPort) {
	delete(c.held, host)
	if instead.IsValid() && instead != c.self {
		c.instead = instead
		c.insteadUntil = now + insteadFor/2 + time.Duration(c.random()*float64(insteadFor))
	}
}

// ReportStale notes that what a host told was too old to go on with.
func (c *Chooser) ReportStale(now time.Duration, host netip.AddrPort) {
	held := c.held[host]
	held.stale++
	c.held[host] = held
	if held.stale >= maxStale {
		c.ReportFailure(now, host)
	}
}

// ReportFailure notes that a host did not answer, or could not tell.
func (c *Chooser) ReportFailure(now time.Duration, host netip.AddrPort) {
	failures := c.held[host].failures
	pause := min(holdBackMax, holdBackMin<<min(failures, maxDoublings))
	c.held[host] = hold{until: now + pause, failures: failures + 1}
	if host == c.instead {
		c.instead = netip.AddrPort{}
		delete(c.held, host)
	}
}
