package overload

import (
	"maps"
	"net/netip"
	"time"
)

const (
	// settle is how long a host has to be overloaded before it may step aside: if all
	// are, the others have asked by then.
	settle = 250 * time.Millisecond
	// recent is how long a question counts. An overloaded host asks in each window.
	recent = time.Second
	// AsideDuration is how long a host steps aside. It is longer than the second or so that
	// the fabric takes to notice, so that hosts do not come and go.
	AsideDuration = 4 * time.Second
	// asideShare is the share of the hosts that may be overloaded, or aside, for one to
	// step aside; the others take over its packets.
	asideShare = 1.0 / 3
)

// Arbiter decides which hosts may step aside, for those that ask one host. Where many are
// overloaded nobody may: the others would only have more to do. It is not safe for
// concurrent use. Times are counted from the start of the process.
type Arbiter struct {
	asked map[netip.AddrPort]question
	aside map[netip.AddrPort]time.Duration
}

// question is when a host asked first and last in a row.
type question struct {
	first time.Duration
	last  time.Duration
}

// NewArbiter returns turns with nobody aside.
func NewArbiter() *Arbiter {
	return &Arbiter{asked: make(map[netip.AddrPort]question), aside: make(map[netip.AddrPort]time.Duration)}
}

// RequestStepAside tells whether an overloaded host, one of a number of hosts, may step aside now.
func (t *Arbiter) RequestStepAside(now time.Duration, host netip.AddrPort, hosts int) bool {
	t.expire(now)
	asked, again := t.asked[host]
	if !again {
		asked.first = now
	}
	asked.last = now
	t.asked[host] = asked
	if now-asked.first < settle || t.troubled() > allowed(hosts) {
		return false
	}
	t.aside[host] = now + AsideDuration
	return true
}

// allowed is the number of hosts that may be overloaded, none of a single host.
func allowed(hosts int) int {
	if hosts < 2 {
		return 0
	}
	return max(1, int(float64(hosts)*asideShare))
}

// troubled is the number of hosts that are overloaded or aside.
func (t *Arbiter) troubled() int {
	count := len(t.asked)
	for host := range t.aside {
		if _, asked := t.asked[host]; !asked {
			count++
		}
	}
	return count
}

func (t *Arbiter) expire(now time.Duration) {
	maps.DeleteFunc(t.asked, func(_ netip.AddrPort, q question) bool { return now-q.last > recent })
	maps.DeleteFunc(t.aside, func(_ netip.AddrPort, until time.Duration) bool { return now >= until })
}
