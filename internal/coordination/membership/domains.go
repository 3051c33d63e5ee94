package membership

import (
	"slices"

	"github.com/guavawharf/guavawharf/internal/state"
)

// pruneContacts keeps only the contacts of another domain.
func (m *Machine) pruneContacts(of state.DomainID) {
	if of == m.self.Domain {
		return
	}
	known := slices.Clone(m.liveMembers(of))
	if len(known) <= MaxContacts {
		return
	}
	slices.SortFunc(known, compareContactRank)
	for _, k := range known[MaxContacts:] {
		m.members.remove(k.host.ID)
		m.updates.remove(k.host.ID)
	}
	m.invalidate()
}

// appendContacts adds some of this domain's contacts in turn.
func (m *Machine) appendContacts(entries []Entry, to state.HostID) []Entry {
	own := m.currentIndex().localContacts
	for range min(MaxUpdatesPerMessage, len(own)) {
		m.contactCursor = (m.contactCursor + 1) % len(own)
		entries = m.appendEntry(entries, own[m.contactCursor].host.ID, to)
	}
	return entries
}

// appendIntroduction adds a live host of a third domain in turn, so that domains that
// do not know each other meet.
func (m *Machine) appendIntroduction(entries []Entry, to state.Host) []Entry {
	third := m.members.filter(func(k *member) bool {
		return k.status == state.HostAlive && k.host.Domain != m.self.Domain && k.host.Domain != to.Domain
	})
	if len(third) == 0 {
		return entries
	}
	m.introductionCursor = (m.introductionCursor + 1) % len(third)
	return m.appendEntry(entries, third[m.introductionCursor].host.ID, to.ID)
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
	m.members.forEach(func(k *member) {
		if k.host.Domain != m.self.Domain || k.dead() {
			return
		}
		d.Hosts++
		d.Oldest = min(d.Oldest, k.version)
		d.Newest = max(d.Newest, k.version)
	})
	return d
}

// nextForeignDigest returns the known digests of other domains in turn.
func (m *Machine) nextForeignDigest() Digest {
	if len(m.digests) == 0 {
		return Digest{}
	}
	m.digestCursor = (m.digestCursor + 1) % len(m.digests)
	return m.digests[m.digestCursor]
}

// recordDigest keeps the newest digest of each other domain.
func (m *Machine) recordDigest(d Digest) {
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
