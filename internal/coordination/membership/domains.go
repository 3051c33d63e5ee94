package membership

import (
	"slices"

	"github.com/guavawharf/guavawharf/internal/state"
)

// pruneContacts removes all live hosts of another domain except its contacts, the
// MaxContacts hosts with the lowest contact rank.
func (m *Machine) pruneContacts(domain state.DomainID) {
	if domain == m.self.Domain {
		return
	}
	live := slices.Clone(m.liveMembers(domain))
	if len(live) <= MaxContacts {
		return
	}
	slices.SortFunc(live, compareContactRank)
	for _, k := range live[MaxContacts:] {
		m.members.remove(k.host.ID)
		m.updates.remove(k.host.ID)
	}
	m.invalidate()
}

// appendContacts adds some of this domain's contacts, round robin.
func (m *Machine) appendContacts(entries []Entry, to state.HostID) []Entry {
	contacts := m.currentIndex().localContacts
	for range min(MaxUpdatesPerMessage, len(contacts)) {
		m.contactCursor = (m.contactCursor + 1) % len(contacts)
		entries = m.appendEntry(entries, contacts[m.contactCursor].host.ID, to)
	}
	return entries
}

// appendIntroduction adds an alive host of a third domain, round robin, so that domains
// that do not know each other learn of each other.
func (m *Machine) appendIntroduction(entries []Entry, to state.Host) []Entry {
	candidates := m.members.filter(func(k *member) bool {
		return k.status == state.HostAlive && k.host.Domain != m.self.Domain && k.host.Domain != to.Domain
	})
	if len(candidates) == 0 {
		return entries
	}
	m.introductionCursor = (m.introductionCursor + 1) % len(candidates)
	return m.appendEntry(entries, candidates[m.introductionCursor].host.ID, to.ID)
}

// ownDigest returns the digest of this host's domain.
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

// nextForeignDigest returns a digest of another domain, round robin, or the zero Digest
// if none is known.
func (m *Machine) nextForeignDigest() Digest {
	if len(m.digests) == 0 {
		return Digest{}
	}
	m.digestCursor = (m.digestCursor + 1) % len(m.digests)
	return m.digests[m.digestCursor]
}

// recordDigest stores a digest of another domain if it is newer than the stored one.
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
