package peers

import (
	"net/netip"
	"slices"
	"time"
)

// maxAskers is the number of hosts that one host answers before it names others in
// its place. With a bound of 16 s on changes its answers then take some 3 KB/s.
const maxAskers = 24

// Pollers remembers which hosts asked this one lately. It is not safe for concurrent
// use. Times are counted from the start of the process.
type Pollers struct {
	// forget is the time without a question after which a host counts no more.
	forget time.Duration
	// asked holds the hosts in the order of their first question.
	asked []asker
}

// asker is a host with the time of its newest question.
type asker struct {
	host netip.AddrPort
	last time.Duration
}

// NewPollers returns an empty memory that forgets hosts after a time without a
// question.
func NewPollers(forget time.Duration) *Pollers { return &Pollers{forget: forget} }

// RecordPoll takes a host's question and returns the host to ask in place of this one,
// the zero address for none. That is one that has asked for longer; each takes as
// many hosts as this one before the next is named, so that few read the store.
func (a *Pollers) RecordPoll(now time.Duration, host netip.AddrPort) (instead netip.AddrPort) {
	a.expire(now)
	at := slices.IndexFunc(a.asked, func(known asker) bool { return known.host == host })
	if at < 0 {
		at = len(a.asked)
		a.asked = append(a.asked, asker{host: host})
	}
	a.asked[at].last = now
	if at < maxAskers {
		return netip.AddrPort{}
	}
	return a.asked[(at/maxAskers-1)%maxAskers].host
}

// Serving tells whether any host asked lately.
func (a *Pollers) Serving(now time.Duration) bool { return a.Count(now) > 0 }

// Count is the number of hosts that asked lately.
func (a *Pollers) Count(now time.Duration) int {
	a.expire(now)
	return len(a.asked)
}

// Hosts returns the hosts that asked lately, in the order of their first question.
func (a *Pollers) Hosts(now time.Duration) []netip.AddrPort {
	a.expire(now)
	hosts := make([]netip.AddrPort, 0, len(a.asked))
	for _, known := range a.asked {
		hosts = append(hosts, known.host)
	}
	return hosts
}

func (a *Pollers) expire(now time.Duration) {
	a.asked = slices.DeleteFunc(a.asked, func(known asker) bool { return now-known.last > a.forget })
}
