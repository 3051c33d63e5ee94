package traffic

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/guavawharf/guavawharf/internal/state"
)

// ownerCandidate is a host that may own flows.
type ownerCandidate struct {
	id   state.HostID
	seed uint64
	// instance changes when the host restarts.
	instance uint64
	leaving  bool
	self     bool
}

// domainCandidates is a failure domain with its owner candidates.
type domainCandidates struct {
	id   state.DomainID
	seed uint64
	// hosts holds alive and leaving hosts in the order of the view.
	hosts []*ownerCandidate
	// alive hosts may own new flows. Leaving hosts still answer for the records
	// they hold.
	alive   []*ownerCandidate
	leaving []*ownerCandidate
	// changedAt is when the domain's alive hosts last changed.
	changedAt time.Time
}

// viewIndex is a membership view prepared for the choice of owners.
type viewIndex struct {
	domains []*domainCandidates
	// alive is the number of hosts that may own new flows.
	alive int
	// domainLostAt is when a failure domain last lost all its hosts, zero if none
	// did.
	domainLostAt time.Time
}

// newViewIndex prepares the view of a snapshot. Domains whose alive hosts are
// the same as in previous, which may be nil, keep their changedAt.
func newViewIndex(now time.Time, snap *state.Snapshot, previous *viewIndex) *viewIndex {
	index := &viewIndex{}
	for _, m := range snap.View.Members {
		if m.Status == state.HostDead {
			continue
		}
		domain := index.addDomain(m.Domain)
		host := newOwnerCandidate(m, snap)
		domain.hosts = append(domain.hosts, host)
		if host.leaving {
			domain.leaving = append(domain.leaving, host)
			continue
		}
		domain.alive = append(domain.alive, host)
		index.alive++
	}
	slices.SortFunc(index.domains, func(a, b *domainCandidates) int { return cmp.Compare(a.id, b.id) })
	index.domainLostAt = previous.lastDomainLoss(now, index)
	for _, domain := range index.domains {
		domain.changedAt = now
		if old := previous.domain(domain.id); old != nil && sameHosts(old.alive, domain.alive) {
			domain.changedAt = old.changedAt
		}
	}
	return index
}

// lastDomainLoss returns when a domain last lost all its hosts, including the
// change from this view to next.
func (v *viewIndex) lastDomainLoss(now time.Time, next *viewIndex) time.Time {
	if v == nil {
		return time.Time{}
	}
	for _, domain := range v.domains {
		if next.domain(domain.id) == nil {
			return now
		}
	}
	return v.domainLostAt
}

// newOwnerCandidate prepares one member of a view.
func newOwnerCandidate(m state.Member, snap *state.Snapshot) *ownerCandidate {
	self := m.ID == snap.Self.ID
	seed := xxh3.HashString(string(m.ID))
	return &ownerCandidate{
		id:       m.ID,
		seed:     seed,
		instance: mix64(seed + m.Run),
		leaving:  m.Status == state.HostLeaving || self && snap.Leaving,
		self:     self,
	}
}

// addDomain returns the domain's entry and adds it if it is missing.
func (v *viewIndex) addDomain(id state.DomainID) *domainCandidates {
	if domain := v.domain(id); domain != nil {
		return domain
	}
	domain := &domainCandidates{id: id, seed: domainSeed(id)}
	v.domains = append(v.domains, domain)
	return domain
}

// domainSeed returns the hash of a failure domain for rendezvous hashing.
func domainSeed(id state.DomainID) uint64 { return xxh3.HashString(string(id)) }

// domain returns a domain's entry, or nil.
func (v *viewIndex) domain(id state.DomainID) *domainCandidates {
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

// host returns a host of the view, or nil.
func (v *viewIndex) host(id state.HostID) *ownerCandidate {
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
func sameHosts(a, b []*ownerCandidate) bool {
	return slices.EqualFunc(a, b, func(x, y *ownerCandidate) bool { return x.id == y.id })
}
