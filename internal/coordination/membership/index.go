package membership

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/guavawharf/guavawharf/internal/state"
)

// domainMembers is what follows from the table and the list for one domain.
type domainMembers struct {
	id state.DomainID
	// live are the known hosts that are not dead, in order of ID.
	live []*member
	// gateway tells that this host probes the domain.
	gateway bool
}

// domainIndex is derived from the table and the list and rebuilt after a change. Its
// slices are shared and not modified.
type domainIndex struct {
	valid bool
	local domainMembers
	// localContacts are this domain's contacts: dead ones included, suspects not.
	localContacts []*member
	// foreign are the other domains with a known or listed host, sorted.
	foreign []domainMembers
}

// contactRank orders the hosts of a domain; the lowest are its contacts.
func contactRank(id state.HostID) uint64 { return xxh3.HashString(string(id)) }

// gatewayRank orders the hosts of a domain towards another domain.
func gatewayRank(id state.HostID, to state.DomainID) uint64 {
	return xxh3.HashString(string(id) + "\x00" + string(to))
}

// compareContactRank sorts members by rank.
func compareContactRank(a, b *member) int {
	return cmp.Compare(contactRank(a.host.ID), contactRank(b.host.ID))
}

// currentIndex returns the current index.
func (m *Machine) currentIndex() *domainIndex {
	if !m.domains.valid {
		m.domains = m.buildIndex()
	}
	return &m.domains
}

func (m *Machine) buildIndex() domainIndex {
	ix := domainIndex{valid: true, local: domainMembers{id: m.self.Domain}}
	for _, h := range m.listed {
		ix.getOrAdd(h.Domain)
	}
	for _, k := range m.members.sorted {
		d := ix.getOrAdd(k.host.Domain)
		if !k.dead() {
			d.live = append(d.live, k)
		}
	}
	ix.localContacts = m.localContacts()
	for i := range ix.foreign {
		ix.foreign[i].gateway = m.isGateway(ix.local.live, ix.foreign[i].id)
	}
	return ix
}

// getOrAdd returns the index of a getOrAdd, new if need be.
func (ix *domainIndex) getOrAdd(id state.DomainID) *domainMembers {
	if id == ix.local.id {
		return &ix.local
	}
	i, found := slices.BinarySearchFunc(ix.foreign, id, func(d domainMembers, id state.DomainID) int {
		return cmp.Compare(d.id, id)
	})
	if !found {
		ix.foreign = slices.Insert(ix.foreign, i, domainMembers{id: id})
	}
	return &ix.foreign[i]
}

// localContacts returns the hosts of this domain that others are told of.
func (m *Machine) localContacts() []*member {
	ranked := m.members.filter(func(k *member) bool {
		return k.host.Domain == m.self.Domain && k.status != state.HostSuspect
	})
	slices.SortFunc(ranked, compareContactRank)
	return ranked[:min(len(ranked), MaxContacts)]
}

// isGateway tells whether this host is one of its domain's hosts that probe the
// given domain.
func (m *Machine) isGateway(peers []*member, to state.DomainID) bool {
	own := gatewayRank(m.self.ID, to)
	lower := 0
	for _, k := range peers {
		if k.status == state.HostAlive && !k.leaving && gatewayRank(k.host.ID, to) < own {
			lower++
		}
	}
	return lower < GatewaysPerDomain
}

// liveMembers returns the known hosts of a domain that are not dead.
func (m *Machine) liveMembers(of state.DomainID) []*member {
	ix := m.currentIndex()
	if of == ix.local.id {
		return ix.local.live
	}
	for i := range ix.foreign {
		if ix.foreign[i].id == of {
			return ix.foreign[i].live
		}
	}
	return nil
}
