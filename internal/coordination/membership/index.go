package membership

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/guavawharf/guavawharf/internal/state"
)

// domainMembers is the part of the index for one domain.
type domainMembers struct {
	id state.DomainID
	// live contains the known hosts that are not dead, in ID order.
	live []*member
	// gateway reports whether this host probes the domain.
	gateway bool
}

// domainIndex groups the member table and the listed hosts by domain. It is rebuilt
// after a change. Its slices are shared and must not be modified.
type domainIndex struct {
	valid bool
	local domainMembers
	// localContacts are this domain's contacts: the hosts that other domains learn
	// of. Dead hosts are included, suspects are not.
	localContacts []*member
	// foreign are the other domains with a known or listed host, sorted by ID.
	foreign []domainMembers
}

// contactRank orders the hosts of a domain; those with the lowest ranks are its
// contacts.
func contactRank(id state.HostID) uint64 { return xxh3.HashString(string(id)) }

// gatewayRank orders the hosts of a domain; those with the lowest ranks are its
// gateways to the given other domain.
func gatewayRank(id state.HostID, to state.DomainID) uint64 {
	return xxh3.HashString(string(id) + "\x00" + string(to))
}

// compareContactRank compares two members by contact rank.
func compareContactRank(a, b *member) int {
	return cmp.Compare(contactRank(a.host.ID), contactRank(b.host.ID))
}

// currentIndex returns the index and rebuilds it first if it is stale.
func (m *Machine) currentIndex() *domainIndex {
	if !m.domains.valid {
		m.domains = m.buildDomainIndex()
	}
	return &m.domains
}

func (m *Machine) buildDomainIndex() domainIndex {
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
	ix.localContacts = m.selectLocalContacts()
	for i := range ix.foreign {
		ix.foreign[i].gateway = m.isGateway(ix.local.live, ix.foreign[i].id)
	}
	return ix
}

// getOrAdd returns the entry of a domain and adds it first if it is missing.
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

// selectLocalContacts returns the MaxContacts hosts of this domain with the lowest
// contact ranks, leaving out suspects.
func (m *Machine) selectLocalContacts() []*member {
	ranked := m.members.filter(func(k *member) bool {
		return k.host.Domain == m.self.Domain && k.status != state.HostSuspect
	})
	slices.SortFunc(ranked, compareContactRank)
	return ranked[:min(len(ranked), MaxContacts)]
}

// isGateway reports whether this host is one of its domain's gateways to the given
// domain.
func (m *Machine) isGateway(peers []*member, to state.DomainID) bool {
	ownRank := gatewayRank(m.self.ID, to)
	lower := 0
	for _, k := range peers {
		if k.status == state.HostAlive && !k.leaving && gatewayRank(k.host.ID, to) < ownRank {
			lower++
		}
	}
	return lower < GatewaysPerDomain
}

// liveMembers returns the known hosts of a domain that are not dead.
func (m *Machine) liveMembers(domain state.DomainID) []*member {
	ix := m.currentIndex()
	if domain == ix.local.id {
		return ix.local.live
	}
	for i := range ix.foreign {
		if ix.foreign[i].id == domain {
			return ix.foreign[i].live
		}
	}
	return nil
}
