package shed

import "net/netip"

const (
	// leastImportantLimit is the fraction of the limit up to which new flows of the least
	// important routes are admitted.
	leastImportantLimit = 0.5
	// reservedShare is the number of new flows admitted above the limit for each answer, so
	// that requests on open flows don't take all slots; maxReserved bounds those saved up.
	// With Limiter.UseRejections an answer counts only if the target executed the request and
	// its priority is not the most important one.
	reservedShare = 0.5
	maxReserved   = 2
)

// Admit decides about a client's new flow of a route with the given priority. The caller
// must refuse one that is not admitted at once.
func (l *Limiter) Admit(priority int, client netip.Addr) bool {
	if l.limiting && !l.belowLimit(priority, l.shareOf(client)) {
		l.refused++
		return false
	}
	if l.UseRejections {
		l.accounts.record(client)
	}
	return true
}

// shareOf returns the part of the limit up to which flows of a client are admitted.
func (l *Limiter) shareOf(client netip.Addr) float64 {
	if !l.UseRejections {
		return 1
	}
	return l.accounts.share(client)
}

// belowLimit reports whether a part of the limit leaves room for a new flow with a priority.
func (l *Limiter) belowLimit(priority int, part float64) bool {
	inFlight := l.inFlight
	if l.UseRejections {
		inFlight = l.newFlows.inFlight
	}
	return float64(inFlight) < part*l.limitOf(priority) || part == 1 && l.takeReserved(priority)
}

// limitOf returns the number of requests in flight from which new flows with a priority
// are refused.
func (l *Limiter) limitOf(priority int) float64 {
	rank, last := l.rank(priority)
	if last < 1 {
		return l.limit
	}
	return l.limit * (1 - (1-leastImportantLimit)*float64(min(rank, last))/float64(last))
}

// rank returns the number of active classes that are more important than a priority, and
// the highest such number among the active classes.
func (l *Limiter) rank(priority int) (rank, last int) {
	active := 0
	for _, c := range l.classes {
		if !c.active() {
			continue
		}
		active++
		if c.priority < priority {
			rank++
		}
	}
	return rank, active - 1
}

// reserve adds to the flows reserved above the limit for an answer of a class.
func (l *Limiter) reserve(c *class, a Answer) {
	if l.UseRejections && (c.rejects(a) || l.mostImportant(c.priority)) {
		return
	}
	l.reserved = min(l.reserved+reservedShare, maxReserved)
}

// mostImportant reports whether no active class is more important than a priority.
func (l *Limiter) mostImportant(priority int) bool {
	rank, _ := l.rank(priority)
	return rank == 0
}

// takeReserved uses one of the flows reserved above the limit. The most important routes
// may use all of them. Others may use those beyond the first half, or none with
// UseRejections.
func (l *Limiter) takeReserved(priority int) bool {
	needed := 1.0
	if !l.mostImportant(priority) {
		if l.UseRejections {
			return false
		}
		needed += maxReserved / 2
	}
	if l.reserved < needed {
		return false
	}
	l.reserved--
	return true
}
