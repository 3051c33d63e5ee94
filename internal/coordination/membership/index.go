package membership

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/guavawharf/guavawharf/internal/state"
)

// domainIndex is what follows from the table and the list for one domain.
type domainIndex struct {
	id state.DomainID
	// live are the known hosts that are not dead, in order of ID.
	live []*member
	// gateway tells that this host probes the domain.
	gateway bool
}

// index is derived from the table and the list and rebuilt after a change. Its
// slices are shared and not modified.
type index struct {
	valid bool
	own   domainIndex
	// ranked are this domain's contacts: dead ones included, suspects not.
	ranked []*member
	// foreign are the other domains with a known or listed host, sorted.
	foreign []domainIndex
}

// contactRank orders the hosts of a domain; the lowest are its contacts.
func contactRank(id state.HostID) uint64 { return xxh3.HashString(string(id)) }

// gatewayRank orders the hosts of a domain towards another domain.
func gatewayRank(id state.HostID, to state.DomainID) uint64 {
	return xxh3.HashString(string(id) + "\x00" + string(to))
}

// byContactRank sorts members by rank.
func byContactRank(a, b *member) int {
	return cmp.Compare(contactRank(a.host.ID), contactRank(b.host.ID))
}

// indexed returns the current index.
func (m *Machine) indexed() *index {
	if !m.index.valid {
		m.index = m.buildIndex()
	}
	return &m.index
}

func (m *Machine) buildIndex() index {
	ix := index{valid: true, own: domainIndex{id: m.self.Domain}}
	for _, h := range m.listed {
		ix.domain(h.Domain)
	}
	for _, k := range m.table.sorted {
		d := ix.domain(k.host.Domain)
		if !k.dead() {
			d.live = append(d.live, k)
		}
	}
	ix.ranked = m.rankOwn()
	for i := range ix.foreign {
		ix.foreign[i].gateway = m.isGateway(ix.own.live, ix.foreign[i].id)
	}
	return ix
}

// domain returns the index of a domain, new if need be.
func (ix *index) domain(id state.DomainID) *domainIndex {
	if id == ix.own.id {
		return &ix.own
	}
	i, found := slices.BinarySearchFunc(ix.foreign, id, func(d domainIndex, id state.DomainID) int {
		return cmp.Compare(d.id, id)
	})
	if !found {
		ix.foreign = slices.Insert(ix.foreign, i, domainIndex{id: id})
	}
	return &ix.foreign[i]
}

// rankOwn returns the hosts of this domain that others are told of.
func (m *Machine) rankOwn() []*member {
	ranked := m.table.filter(func(k *member) bool {
		return k.host.Domain == m.self.Domain && k.status != state.HostSuspect
	})
	slices.SortFunc(ranked, byContactRank)
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
	return lower < Gateways
}

// contacts returns the known hosts of a domain that are not dead.
func (m *Machine) contacts(of state.DomainID) []*member {
	ix := m.indexed()
	if of == ix.own.id {
		return ix.own.live
	}
	for i := range ix.foreign {
		if ix.foreign[i].id == of {
			return ix.foreign[i].live
		}
	}
	return nil
}
