package overload

import (
	"maps"
	"net/netip"
	"time"
)

const (
	// minOverload is how long a host has to be overloaded before it may step aside: if all
	// are, the others have asked by then.
	minOverload = 250 * time.Millisecond
	// requestLifetime is how long a question counts. An overloaded host asks in each window.
	requestLifetime = time.Second
	// AsideDuration is how long a host steps aside. It is longer than the second or so that
	// the fabric takes to notice, so that hosts do not come and go.
	AsideDuration = 4 * time.Second
	// maxAsideShare is the share of the hosts that may be overloaded, or aside, for one to
	// step aside; the others take over its packets.
	maxAsideShare = 1.0 / 3
)

// Arbiter decides which hosts may step aside, for those that ask one host. Where many are
// overloaded nobody may: the others would only have more to do. It is not safe for
// concurrent use. Times are counted from the start of the process.
type Arbiter struct {
	requests map[netip.AddrPort]request
	aside    map[netip.AddrPort]time.Duration
}

// request is when a host asked first and last in a row.
type request struct {
	first time.Duration
	last  time.Duration
}

// NewArbiter returns turns with nobody aside.
func NewArbiter() *Arbiter {
	return &Arbiter{requests: make(map[netip.AddrPort]request), aside: make(map[netip.AddrPort]time.Duration)}
}

// RequestStepAside tells whether an overloaded host, one of a number of hosts, may step aside now.
func (a *Arbiter) RequestStepAside(now time.Duration, host netip.AddrPort, hosts int) bool {
	a.expire(now)
	pending, found := a.requests[host]
	if !found {
		pending.first = now
	}
	pending.last = now
	a.requests[host] = pending
	if now-pending.first < minOverload || a.overloadedOrAside() > maxAside(hosts) {
		return false
	}
	a.aside[host] = now + AsideDuration
	return true
}

// maxAside is the number of hosts that may be overloaded, none of a single host.
func maxAside(hosts int) int {
	if hosts < 2 {
		return 0
	}
	return max(1, int(float64(hosts)*maxAsideShare))
}

// overloadedOrAside is the number of hosts that are overloaded or aside.
func (a *Arbiter) overloadedOrAside() int {
	count := len(a.requests)
	for host := range a.aside {
		if _, pending := a.requests[host]; !pending {
			count++
		}
	}
	return count
}

func (a *Arbiter) expire(now time.Duration) {
	maps.DeleteFunc(a.requests, func(_ netip.AddrPort, q request) bool { return now-q.last > requestLifetime })
	maps.DeleteFunc(a.aside, func(_ netip.AddrPort, until time.Duration) bool { return now >= until })
}
