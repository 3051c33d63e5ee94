package traffic

import (
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// owners is the owner pair of a flow.
type owners struct {
	// first keeps the flow's record and forwards its packets. It is nil only if
	// the view is empty.
	first *ownerCandidate
	// second keeps a copy of the record. It is nil if there is no other host.
	second *ownerCandidate
	// home is the failure domain of first.
	home *domainCandidates
}

// otherOwner returns the owner that this host shares the flow with: the second
// owner if this host is the first, else the first. It is nil if there is none.
func (o *owners) otherOwner() *ownerCandidate {
	if o.first.self {
		return o.second
	}
	return o.first
}

// signature identifies the owner pair and changes when one of them restarts. It
// is never 0.
func (o *owners) signature() uint32 {
	sum := o.first.instance
	if o.second != nil {
		sum = mix64(sum) + o.second.instance
	}
	return uint32(sum>>32) | 1
}

// serviceRoutes is a service's entry joined with a membership view.
type serviceRoutes struct {
	entry *state.ServiceEntry
	view  *viewIndex
	// ownerWeights holds the weights of view.domains in the same order.
	ownerWeights []float64
	// placementDomains holds the failure domains of targets that take new flows.
	placementDomains []placementDomain
	// previous holds the routes before the last change of owners. They are used
	// until previousUntil.
	previous      *serviceRoutes
	previousUntil time.Time
}

// placementDomain is a failure domain with targets that take new flows.
type placementDomain struct {
	id     state.DomainID
	seed   uint64
	weight float64
	// hasHosts reports whether the domain has hosts that may own new flows.
	hasHosts bool
}

// newServiceRoutes joins a service's domain weights with a view.
func newServiceRoutes(entry *state.ServiceEntry, view *viewIndex) *serviceRoutes {
	r := &serviceRoutes{
		entry:        entry,
		view:         view,
		ownerWeights: make([]float64, len(view.domains)),
	}
	for _, w := range entry.DomainWeights {
		i := slices.IndexFunc(view.domains, func(d *domainCandidates) bool { return d.id == w.Domain })
		if i >= 0 {
			r.ownerWeights[i] = float64(w.Weight)
		}
		if w.Usable > 0 {
			domain := placementDomain{id: w.Domain, seed: domainSeed(w.Domain), weight: float64(w.Usable)}
			domain.hasHosts = i >= 0 && len(view.domains[i].alive) > 0
			r.placementDomains = append(r.placementDomains, domain)
		}
	}
	return r
}

// owners returns the flow's owner pair: the two best hosts of its home domain, or
// the best host of each of its two best domains if the home domain has one host.
// Leaving hosts own flows only if all hosts are leaving.
func (r *serviceRoutes) owners(fp state.Fingerprint) owners {
	home := r.bestOwnerDomain(fp, nil)
	if home == nil {
		return r.leavingOwners(fp)
	}
	o := owners{home: home}
	o.first = bestHost(home.alive, fp, nil)
	o.second = bestHost(home.alive, fp, o.first)
	if o.second != nil {
		return o
	}
	if next := r.bestOwnerDomain(fp, home); next != nil {
		o.second = bestHost(next.alive, fp, nil)
	}
	return o
}

// leavingOwners returns the owner of a flow when every host is leaving.
func (r *serviceRoutes) leavingOwners(fp state.Fingerprint) owners {
	for _, domain := range r.view.domains {
		if len(domain.leaving) > 0 {
			return owners{first: bestHost(domain.leaving, fp, nil), home: domain}
		}
	}
	return owners{}
}

// bestOwnerDomain returns the domain with alive hosts that wins the weighted
// rendezvous, or nil. It leaves out except, which may be nil.
func (r *serviceRoutes) bestOwnerDomain(fp state.Fingerprint, except *domainCandidates) *domainCandidates {
	var winner *domainCandidates
	lowest := 0.0
	for i, domain := range r.view.domains {
		if domain == except || len(domain.alive) == 0 {
			continue
		}
		score := weightedScore(mix64(fp.High^domain.seed), r.ownerWeights[i])
		if winner == nil || score < lowest {
			winner = domain
			lowest = score
		}
	}
	return winner
}

// bestHost returns the host that wins the rendezvous, or nil. It leaves out
// except, which may be nil.
func bestHost(hosts []*ownerCandidate, fp state.Fingerprint, except *ownerCandidate) *ownerCandidate {
	var winner *ownerCandidate
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

// preferredDomain returns the domain whose targets a new flow prefers: its home
// domain, unless targets are leaving. It is anyDomain if no domain with hosts
// has targets that take new flows.
func (r *serviceRoutes) preferredDomain(fp state.Fingerprint) state.DomainID {
	return r.bestPlacementDomain(fp, true)
}

// preferredDomainIgnoringHosts is preferredDomain as if every domain had hosts.
func (r *serviceRoutes) preferredDomainIgnoringHosts(fp state.Fingerprint) state.DomainID {
	return r.bestPlacementDomain(fp, false)
}

// bestPlacementDomain returns the placement domain that wins the weighted
// rendezvous, or anyDomain if there is none. withHosts leaves out domains
// without hosts.
func (r *serviceRoutes) bestPlacementDomain(fp state.Fingerprint, withHosts bool) state.DomainID {
	winner := anyDomain
	lowest := 0.0
	for _, domain := range r.placementDomains {
		if withHosts && !domain.hasHosts {
			continue
		}
		score := weightedScore(mix64(fp.High^domain.seed), domain.weight)
		if winner == anyDomain || score < lowest {
			winner = domain.id
			lowest = score
		}
	}
	return winner
}
