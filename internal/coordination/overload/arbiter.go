package overload

import (
	"maps"
	"net/netip"
	"time"
)

const (
	// minOverload is how long a host has to be overloaded before it may step aside. If all
	// hosts are overloaded, the others have made their requests by then.
	minOverload = 250 * time.Millisecond
	// requestLifetime is how long a request counts. An overloaded host repeats it in each
	// window.
	requestLifetime = time.Second
	// AsideDuration is how long a host steps aside. It is longer than the second or so that
	// the fabric takes to detect it, so that hosts do not flap.
	AsideDuration = 4 * time.Second
	// maxAsideShare is the largest fraction of the hosts that may be overloaded or aside
	// for one to step aside; the others take over its packets.
	maxAsideShare = 1.0 / 3
)

// Arbiter decides which of the hosts that send their requests to this one may step aside.
// If many are overloaded none may, since that would only add load to the others. It is not
// safe for concurrent use. Times are counted from the start of the process.
type Arbiter struct {
	requests map[netip.AddrPort]request
	// aside holds the time until which a host is aside.
	aside map[netip.AddrPort]time.Duration
}

// request holds the times of the first and the last of a host's consecutive requests.
type request struct {
	first time.Duration
	last  time.Duration
}

// NewArbiter returns an arbiter without requests and with no host aside.
func NewArbiter() *Arbiter {
	return &Arbiter{requests: make(map[netip.AddrPort]request), aside: make(map[netip.AddrPort]time.Duration)}
}

// RequestStepAside records a request of an overloaded host and reports whether it may
// step aside now, for AsideDuration. hosts is the number of hosts known to the arbiter's
// host, itself included.
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

// maxAside is the largest number of hosts that may be overloaded or aside: at least 1 of
// two or more hosts, and 0 of a single one.
func maxAside(hosts int) int {
	if hosts < 2 {
		return 0
	}
	return max(1, int(float64(hosts)*maxAsideShare))
}

// overloadedOrAside is the number of hosts with a current request or aside.
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
