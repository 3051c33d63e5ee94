package membership

import (
	"slices"

	"github.com/guavawharf/guavawharf/internal/state"
)

// prune keeps only the contacts of another domain.
func (m *Machine) prune(of state.DomainID) {
	if of == m.self.Domain {
		return
	}
	known := slices.Clone(m.contacts(of))
	if len(known) <= MaxContacts {
		return
	}
	slices.SortFunc(known, byContactRank)
	for _, k := range known[MaxContacts:] {
		m.table.remove(k.host.ID)
		m.updates.remove(k.host.ID)
	}
	m.changed()
}

// contactEntries adds some of this domain's contacts in turn.
func (m *Machine) contactEntries(entries []Entry, to state.HostID) []Entry {
	own := m.indexed().ranked
	for range min(MaxUpdates, len(own)) {
		m.contactTurn = (m.contactTurn + 1) % len(own)
		entries = m.appendEntry(entries, own[m.contactTurn].host.ID, to)
	}
	return entries
}

// introduction adds a live host of a third domain in turn, so that domains that
// do not know each other meet.
func (m *Machine) introduction(entries []Entry, to state.Host) []Entry {
	third := m.table.filter(func(k *member) bool {
		return k.status == state.HostAlive && k.host.Domain != m.self.Domain && k.host.Domain != to.Domain
	})
	if len(third) == 0 {
		return entries
	}
	m.thirdTurn = (m.thirdTurn + 1) % len(third)
	return m.appendEntry(entries, third[m.thirdTurn].host.ID, to.ID)
}

// ownDigest sums up this host's domain.
func (m *Machine) ownDigest() Digest {
	d := Digest{
		Domain: m.self.Domain,
		Hosts:  1,
		Oldest: m.version,
		Newest: m.version,
		Stamp:  m.now.UnixMilli(),
	}
	m.table.each(func(k *member) {
		if k.host.Domain != m.self.Domain || k.dead() {
			return
		}
		d.Hosts++
		d.Oldest = min(d.Oldest, k.version)
		d.Newest = max(d.Newest, k.version)
	})
	return d
}

// foreignDigest returns the known digests of other domains in turn.
func (m *Machine) foreignDigest() Digest {
	if len(m.digests) == 0 {
		return Digest{}
	}
	m.digestTurn = (m.digestTurn + 1) % len(m.digests)
	return m.digests[m.digestTurn]
}

// learnDigest keeps the newest digest of each other domain.
func (m *Machine) learnDigest(d Digest) {
	if d.Domain == "" || d.Domain == m.self.Domain {
		return
	}
	i := slices.IndexFunc(m.digests, func(k Digest) bool { return k.Domain == d.Domain })
	if i < 0 {
		m.digests = append(m.digests, d)
		return
	}
	if d.Stamp > m.digests[i].Stamp {
		m.digests[i] = d
	}
}
