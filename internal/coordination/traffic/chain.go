package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Bounds of an owner chain.
const (
	// maxCandidates bounds the hosts in an owner chain.
	maxCandidates = 6
	// maxAlivePerDomain bounds the alive hosts of one domain in a chain.
	maxAlivePerDomain = 3
	// maxLeavingPerDomain bounds the leaving hosts of one domain in a chain.
	maxLeavingPerDomain = 1
	// maxDomains bounds the domains that are ranked for a flow.
	maxDomains = 16
)

// chain is the ordered list of a flow's owner candidates.
type chain struct {
	hosts [maxCandidates]*hostRoute
	len   int
	// home is the failure domain whose hosts come first.
	home *domainRoute
}

// add appends a host unless the chain is full.
func (c *chain) add(h *hostRoute) {
	if c.len == maxCandidates {
		return
	}
	c.hosts[c.len] = h
	c.len++
}

// first returns the first owner.
func (c *chain) first() *hostRoute { return c.hosts[0] }

// second returns the second owner, the first other host that is not leaving;
// nil if there is none.
func (c *chain) second() *hostRoute {
	for _, h := range c.hosts[1:max(c.len, 1)] {
		if !h.leaving {
			return h
		}
	}
	return nil
}

// pair returns the first and the second owner; either may be nil.
func (c *chain) pair() [2]*hostRoute {
	return [2]*hostRoute{c.first(), c.second()}
}

// self returns the position of this host, -1 if it is not in the chain.
func (c *chain) self() int {
	for i := 0; i < c.len; i++ {
		if c.hosts[i].self {
			return i
		}
	}
	return -1
}

// partner returns the owner that shares the flow with this host: the second for
// the first owner, the first for any other; nil if there is none.
func (c *chain) partner() *hostRoute {
	if c.hosts[0].self {
		return c.second()
	}
	return c.hosts[0]
}

// signature identifies the owner pair, restarts included. It is never 0.
func (c *chain) signature() uint32 {
	sum := c.hosts[0].instance
	if second := c.second(); second != nil {
		sum = mix64(sum) + second.instance
	}
	return uint32(sum>>32) | 1
}

// serviceRoutes is a service's entry with the weights of the view's domains.
type serviceRoutes struct {
	entry *state.ServiceEntry
	view  *viewIndex
	// owning and placing are the weights of view.domains, in its order.
	owning  []float64
	placing []float64
	// former holds the routes before the last change of owners, which count
	// until formerUntil.
	former      *serviceRoutes
	formerUntil time.Time
}

// newServiceRoutes joins a service's domain weights with a view. Without any
// weight in a domain that has hosts, all domains weigh the same.
func newServiceRoutes(entry *state.ServiceEntry, view *viewIndex) *serviceRoutes {
	r := &serviceRoutes{
		entry:   entry,
		view:    view,
		owning:  make([]float64, len(view.domains)),
		placing: make([]float64, len(view.domains)),
	}
	for i, domain := range view.domains {
		for _, w := range entry.Domains {
			if w.Domain != domain.id || len(domain.alive) == 0 {
				continue
			}
			r.owning[i] = float64(w.Weight)
			r.placing[i] = float64(w.Usable)
		}
	}
	return r
}

// rank orders the domains for a flow by weighted rendezvous, best first.
func (r *serviceRoutes) rank(fp state.Fingerprint, weights []float64, order *[maxDomains]*domainRoute) int {
	var scores [maxDomains]float64
	n := 0
	for i, domain := range r.view.domains {
		if n == maxDomains {
			break
		}
		score := weightedScore(mix64(fp.High^domain.seed), weights[i])
		at := n
		for at > 0 && scores[at-1] > score {
			scores[at] = scores[at-1]
			order[at] = order[at-1]
			at--
		}
		scores[at] = score
		order[at] = domain
		n++
	}
	return n
}

// chain returns the flow's owner candidates: the home domain's hosts in
// rendezvous order, then those of the other domains.
func (r *serviceRoutes) chain(fp state.Fingerprint) chain {
	var order [maxDomains]*domainRoute
	n := r.rank(fp, r.owning, &order)
	var c chain
	for _, domain := range order[:n] {
		if c.home == nil {
			c.home = domain
		}
		addBest(&c, domain.alive, fp, maxAlivePerDomain)
		addBest(&c, domain.leaving, fp, maxLeavingPerDomain)
	}
	return c
}

// addBest appends the best hosts of a list by rendezvous, at most limit.
func addBest(c *chain, hosts []*hostRoute, fp state.Fingerprint, limit int) {
	var scores [maxAlivePerDomain]uint64
	var best [maxAlivePerDomain]*hostRoute
	n := 0
	for _, h := range hosts {
		score := mix64(fp.Low ^ h.seed)
		at := n
		if n == limit {
			if score <= scores[n-1] {
				continue
			}
			at--
		} else {
			n++
		}
		for at > 0 && scores[at-1] < score {
			scores[at] = scores[at-1]
			best[at] = best[at-1]
			at--
		}
		scores[at] = score
		best[at] = h
	}
	for _, h := range best[:n] {
		c.add(h)
	}
}

// placeDomain returns the domain whose targets a new flow prefers; nil when no
// domain with hosts has a usable target.
func (r *serviceRoutes) placeDomain(fp state.Fingerprint) *domainRoute {
	best := -1
	least := 0.0
	for i, domain := range r.view.domains {
		if r.placing[i] == 0 {
			continue
		}
		score := weightedScore(mix64(fp.High^domain.seed), r.placing[i])
		if best < 0 || score < least {
			best = i
			least = score
		}
	}
	if best < 0 {
		return nil
	}
	return r.view.domains[best]
}
