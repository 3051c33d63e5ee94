package traffic

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/guavawharf/guavawharf/internal/state"
)

// hostRoute is an entry host as a candidate to own flows.
type hostRoute struct {
	id   state.HostID
	seed uint64
	// instance changes when the host restarts.
	instance uint64
	leaving  bool
	self     bool
}

// domainRoute is a failure domain with its candidates.
type domainRoute struct {
	id   state.DomainID
	seed uint64
	// hosts are all, in the order of the view.
	hosts []*hostRoute
	// alive hosts may own new flows; leaving ones answer for their records.
	alive   []*hostRoute
	leaving []*hostRoute
	// changed is when the domain's alive hosts last changed in this view.
	changed time.Time
}

// viewIndex is a membership view prepared for choosing owners.
type viewIndex struct {
	domains []*domainRoute
	// alive is the number of hosts that may own new flows.
	alive int
	// domainLost is when a failure domain last lost all its hosts; zero if none
	// did.
	domainLost time.Time
}

// newViewIndex prepares the view of a snapshot. Domains whose alive hosts are
// as in previous, which may be nil, keep their time of change.
func newViewIndex(now time.Time, snap *state.Snapshot, previous *viewIndex) *viewIndex {
	index := &viewIndex{}
	for _, m := range snap.View.Members {
		if m.Status == state.HostDead {
			continue
		}
		domain := index.addDomain(m.Domain)
		host := newHostRoute(m, snap)
		domain.hosts = append(domain.hosts, host)
		if host.leaving {
			domain.leaving = append(domain.leaving, host)
			continue
		}
		domain.alive = append(domain.alive, host)
		index.alive++
	}
	slices.SortFunc(index.domains, func(a, b *domainRoute) int { return cmp.Compare(a.id, b.id) })
	index.domainLost = previous.lost(now, index)
	for _, domain := range index.domains {
		domain.changed = now
		if old := previous.domain(domain.id); old != nil && sameHosts(old.alive, domain.alive) {
			domain.changed = old.changed
		}
	}
	return index
}

// lost returns when a domain last lost all its hosts, the change from this view
// to the next included.
func (v *viewIndex) lost(now time.Time, next *viewIndex) time.Time {
	if v == nil {
		return time.Time{}
	}
	for _, domain := range v.domains {
		if next.domain(domain.id) == nil {
			return now
		}
	}
	return v.domainLost
}

// newHostRoute prepares one member.
func newHostRoute(m state.Member, snap *state.Snapshot) *hostRoute {
	self := m.ID == snap.Self.ID
	seed := xxh3.HashString(string(m.ID))
	return &hostRoute{
		id:       m.ID,
		seed:     seed,
		instance: mix64(seed + m.Incarnation),
		leaving:  m.Status == state.HostLeaving || self && snap.Leaving,
		self:     self,
	}
}

// addDomain returns the domain's entry, adding it if needed.
func (v *viewIndex) addDomain(id state.DomainID) *domainRoute {
	if domain := v.domain(id); domain != nil {
		return domain
	}
	domain := &domainRoute{id: id, seed: domainSeed(id)}
	v.domains = append(v.domains, domain)
	return domain
}

// domainSeed is the hash by which a failure domain takes part in rendezvous.
func domainSeed(id state.DomainID) uint64 { return xxh3.HashString(string(id)) }

// domain returns a domain's entry, nil if there is none.
func (v *viewIndex) domain(id state.DomainID) *domainRoute {
	if v == nil {
		return nil
	}
	for _, domain := range v.domains {
		if domain.id == id {
			return domain
		}
	}
	return nil
}

// host returns a host of the view, nil if there is none.
func (v *viewIndex) host(id state.HostID) *hostRoute {
	for _, domain := range v.domains {
		for _, h := range domain.hosts {
			if h.id == id {
				return h
			}
		}
	}
	return nil
}

// sameHosts reports whether two host lists, sorted by ID, are the same.
func sameHosts(a, b []*hostRoute) bool {
	return slices.EqualFunc(a, b, func(x, y *hostRoute) bool { return x.id == y.id })
}
