package traffic

import (
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// owners is the owner pair of a flow.
type owners struct {
	// first keeps the flow's record and passes its packets on; nil only in an
	// empty view.
	first *hostRoute
	// second keeps a copy; nil if there is no other host.
	second *hostRoute
	// home is the failure domain of first.
	home *domainRoute
}

// partner returns the owner that shares the flow with this host: the second for
// the first owner, the first for any other host; nil if there is none.
func (o *owners) partner() *hostRoute {
	if o.first.self {
		return o.second
	}
	return o.first
}

// signature identifies the owner pair, restarts included. It is never 0.
func (o *owners) signature() uint32 {
	sum := o.first.instance
	if o.second != nil {
		sum = mix64(sum) + o.second.instance
	}
	return uint32(sum>>32) | 1
}

// serviceRoutes is a service's entry with the weights of the view's domains.
type serviceRoutes struct {
	entry *state.ServiceEntry
	view  *viewIndex
	// owning holds the weights of view.domains, in its order.
	owning []float64
	// placing holds the failure domains of targets that take new flows.
	placing []targetDomain
	// former holds the routes before the last change of owners, which count
	// until formerUntil.
	former      *serviceRoutes
	formerUntil time.Time
}

// targetDomain is a failure domain as a place for new flows.
type targetDomain struct {
	id     state.DomainID
	seed   uint64
	weight float64
	// hosts is true if the domain has hosts that may own new flows.
	hosts bool
}

// newServiceRoutes joins a service's domain weights with a view.
func newServiceRoutes(entry *state.ServiceEntry, view *viewIndex) *serviceRoutes {
	r := &serviceRoutes{
		entry:  entry,
		view:   view,
		owning: make([]float64, len(view.domains)),
	}
	for _, w := range entry.DomainWeights {
		i := slices.IndexFunc(view.domains, func(d *domainRoute) bool { return d.id == w.Domain })
		if i >= 0 {
			r.owning[i] = float64(w.Weight)
		}
		if w.Usable > 0 {
			place := targetDomain{id: w.Domain, seed: domainSeed(w.Domain), weight: float64(w.Usable)}
			place.hosts = i >= 0 && len(view.domains[i].alive) > 0
			r.placing = append(r.placing, place)
		}
	}
	return r
}

// owners returns the flow's owner pair: the best two hosts of its home domain,
// or one host each of its best two domains. Hosts that are leaving come last.
func (r *serviceRoutes) owners(fp state.Fingerprint) owners {
	home := r.best(fp, nil)
	if home == nil {
		return r.leavingOwners(fp)
	}
	o := owners{home: home}
	o.first = topHost(home.alive, fp, nil)
	o.second = topHost(home.alive, fp, o.first)
	if o.second != nil {
		return o
	}
	if next := r.best(fp, home); next != nil {
		o.second = topHost(next.alive, fp, nil)
	}
	return o
}

// leavingOwners returns the owner of a flow when every host is leaving.
func (r *serviceRoutes) leavingOwners(fp state.Fingerprint) owners {
	for _, domain := range r.view.domains {
		if len(domain.leaving) > 0 {
			return owners{first: topHost(domain.leaving, fp, nil), home: domain}
		}
	}
	return owners{}
}

// best returns the domain with alive hosts that wins the weighted rendezvous,
// except one that may be nil; nil if there is none.
func (r *serviceRoutes) best(fp state.Fingerprint, except *domainRoute) *domainRoute {
	var winner *domainRoute
	least := 0.0
	for i, domain := range r.view.domains {
		if domain == except || len(domain.alive) == 0 {
			continue
		}
		score := weightedScore(mix64(fp.High^domain.seed), r.owning[i])
		if winner == nil || score < least {
			winner = domain
			least = score
		}
	}
	return winner
}

// topHost returns the host that wins the rendezvous, except one that may be
// nil; nil if there is none.
func topHost(hosts []*hostRoute, fp state.Fingerprint, except *hostRoute) *hostRoute {
	var winner *hostRoute
	highest := uint64(0)
	for _, h := range hosts {
		score := mix64(fp.Low ^ h.seed)
		if h != except && (winner == nil || score > highest) {
			winner = h
			highest = score
		}
	}
	return winner
}

// placeDomain returns the domain whose targets a new flow prefers: its home
// domain, unless targets are leaving. It is anyDomain when no domain with hosts
// has targets that take new flows.
func (r *serviceRoutes) placeDomain(fp state.Fingerprint) state.DomainID {
	return r.bestPlace(fp, true)
}

// usualDomain is placeDomain as if every domain had hosts.
func (r *serviceRoutes) usualDomain(fp state.Fingerprint) state.DomainID {
	return r.bestPlace(fp, false)
}

// bestPlace returns the domain of targets that wins the weighted rendezvous;
// anyDomain if there is none.
func (r *serviceRoutes) bestPlace(fp state.Fingerprint, withHosts bool) state.DomainID {
	winner := anyDomain
	least := 0.0
	for _, domain := range r.placing {
		if withHosts && !domain.hosts {
			continue
		}
		score := weightedScore(mix64(fp.High^domain.seed), domain.weight)
		if winner == anyDomain || score < least {
			winner = domain.id
			least = score
		}
	}
	return winner
}
