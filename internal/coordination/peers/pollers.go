package peers

import (
	"net/netip"
	"slices"
	"time"
)

// maxPollers is the number of hosts that poll one host before it redirects further
// ones. With a bound of 16 s on changes its answers then take about 3 KB/s.
const maxPollers = 24

// Pollers records which hosts polled this one recently. It is not safe for concurrent
// use. Times are counted from the start of the process.
type Pollers struct {
	// retention is the time without a poll after which a host is removed.
	retention time.Duration
	// pollers holds the hosts in the order of their first poll.
	pollers []poller
}

// poller is a host with the time of its newest poll.
type poller struct {
	host     netip.AddrPort
	lastPoll time.Duration
}

// NewPollers returns an empty record that removes hosts after retention without a poll.
func NewPollers(retention time.Duration) *Pollers { return &Pollers{retention: retention} }

// RecordPoll records a host's poll and returns the host to poll in place of this one,
// the zero address for none. A redirect names a host that began to poll earlier. Each
// gets maxPollers hosts before the next one is named, so that few hosts read the store.
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

// Serving reports whether any host polled recently.
func (p *Pollers) Serving(now time.Duration) bool { return p.Count(now) > 0 }

// Count is the number of hosts that polled recently.
func (p *Pollers) Count(now time.Duration) int {
	p.expire(now)
	return len(p.pollers)
}

// Hosts returns the hosts that polled recently, in the order of their first poll.
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
