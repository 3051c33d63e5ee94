package main

import "time"

// stray tells how the packets of a flow went astray.
type stray struct {
	// run is the number of packets in a row that reached other targets, since the first.
	run   int
	since time.Time
	// most and longest are the largest run so far.
	most    int
	longest time.Duration
}

// arrived records that a packet of a flow reached a target.
func (sc *scene) arrived(t *target, p packet, at time.Time, intended bool) {
	key := flowKey{p.src, p.dst}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if !intended {
		sc.counts["datagrams that named another target"]++
	}
	owner := sc.opens[key]
	if owner == nil || p.flags&flagSYN != 0 {
		return
	}
	s := sc.astray[key]
	if s == nil {
		s = new(stray)
		sc.astray[key] = s
	}
	if owner == t {
		s.run = 0
		return
	}
	if s.run == 0 {
		s.since = at
	}
	s.run++
	s.most = max(s.most, s.run)
	s.longest = max(s.longest, at.Sub(s.since))
}
