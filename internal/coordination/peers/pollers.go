package peers

import (
	"net/netip"
	"slices"
	"time"
)

// maxPollers is the number of hosts that one host answers before it names others in
// its place. With a bound of 16 s on changes its answers then take some 3 KB/s.
const maxPollers = 24

// Pollers remembers which hosts asked this one lately. It is not safe for concurrent
// use. Times are counted from the start of the process.
type Pollers struct {
	// retention is the time without a question after which a host counts no more.
	retention time.Duration
	// pollers holds the hosts in the order of their first question.
	pollers []poller
}

// poller is a host with the time of its newest question.
type poller struct {
	host     netip.AddrPort
	lastPoll time.Duration
}

// NewPollers returns an empty memory that forgets hosts after a time without a
// question.
func NewPollers(forget time.Duration) *Pollers { return &Pollers{retention: forget} }

// RecordPoll takes a host's question and returns the host to ask in place of this one,
// the zero address for none. That is one that has asked for longer; each takes as
// many hosts as this one before the next is named, so that few read the store.
func (a *Pollers) RecordPoll(now time.Duration, host netip.AddrPort) (instead netip.AddrPort) {
	a.expire(now)
	at := slices.IndexFunc(a.pollers, func(known poller) bool { return known.host == host })
	if at < 0 {
		at = len(a.pollers)
		a.pollers = append(a.pollers, poller{host: host})
	}
	a.pollers[at].lastPoll = now
	if at < maxPollers {
		return netip.AddrPort{}
	}
	return a.pollers[(at/maxPollers-1)%maxPollers].host
}

// Serving tells whether any host asked lately.
func (a *Pollers) Serving(now time.Duration) bool { return a.Count(now) > 0 }

// Count is the number of hosts that asked lately.
func (a *Pollers) Count(now time.Duration) int {
	a.expire(now)
	return len(a.pollers)
}

// Hosts returns the hosts that asked lately, in the order of their first question.
func (a *Pollers) Hosts(now time.Duration) []netip.AddrPort {
	a.expire(now)
	hosts := make([]netip.AddrPort, 0, len(a.pollers))
	for _, known := range a.pollers {
		hosts = append(hosts, known.host)
	}
	return hosts
}

func (a *Pollers) expire(now time.Duration) {
	a.pollers = slices.DeleteFunc(a.pollers, func(known poller) bool { return now-known.lastPoll > a.retention })
}
