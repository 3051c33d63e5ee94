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
func NewPollers(retention time.Duration) *Pollers { return &Pollers{retention: retention} }

// RecordPoll takes a host's question and returns the host to ask in place of this one,
// the zero address for none. That is one that has asked for longer; each takes as
// many hosts as this one before the next is named, so that few read the store.
func (p *Pollers) RecordPoll(now time.Duration, host netip.AddrPort) (redirect netip.AddrPort) {
	p.expire(now)
	index := slices.IndexFunc(p.pollers, func(known poller) bool { return known.host == host })
	if index < 0 {
		index = len(p.pollers)
		p.pollers = append(p.pollers, poller{host: host})
	}
	p.pollers[index].lastPoll = now
	if index < maxPollers {
		return netip.AddrPort{}
	}
	return p.pollers[(index/maxPollers-1)%maxPollers].host
}

// Serving tells whether any host asked lately.
func (p *Pollers) Serving(now time.Duration) bool { return p.Count(now) > 0 }

// Count is the number of hosts that asked lately.
func (p *Pollers) Count(now time.Duration) int {
	p.expire(now)
	return len(p.pollers)
}

// Hosts returns the hosts that asked lately, in the order of their first question.
func (p *Pollers) Hosts(now time.Duration) []netip.AddrPort {
	p.expire(now)
	hosts := make([]netip.AddrPort, 0, len(p.pollers))
	for _, known := range p.pollers {
		hosts = append(hosts, known.host)
	}
	return hosts
}

func (p *Pollers) expire(now time.Duration) {
	p.pollers = slices.DeleteFunc(p.pollers, func(known poller) bool { return now-known.lastPoll > p.retention })
}
