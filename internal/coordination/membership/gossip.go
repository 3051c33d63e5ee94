package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/guavawharf/guavawharf/internal/state"
)

// update is a recent change of a host's entry that is still being gossiped.
type update struct {
	id            state.HostID
	transmissions int
}

// updateQueue contains at most one update per host.
type updateQueue struct {
	pending []update
}

// add queues an update for the host and replaces an earlier one. Its transmission count
// starts at zero, which gives it priority over older updates.
func (u *updateQueue) add(id state.HostID) {
	u.remove(id)
	u.pending = append(u.pending, update{id: id})
}

func (u *updateQueue) remove(id state.HostID) {
	u.pending = slices.DeleteFunc(u.pending, func(x update) bool { return x.id == id })
}

// nextBatch returns up to limit hosts, those with the fewest transmissions first, and
// removes each from the queue after maxTransmissions.
func (u *updateQueue) nextBatch(limit, maxTransmissions int) []state.HostID {
	slices.SortStableFunc(u.pending, func(a, b update) int { return cmp.Compare(a.transmissions, b.transmissions) })
	limit = min(limit, len(u.pending))
	batch := make([]state.HostID, 0, limit)
	for i := range limit {
		batch = append(batch, u.pending[i].id)
		u.pending[i].transmissions++
	}
	u.pending = slices.DeleteFunc(u.pending, func(x update) bool { return x.transmissions >= maxTransmissions })
	return batch
}

// gossipFor returns the gossip of a message to the given host.
func (m *Machine) gossipFor(to state.Host) Gossip {
	g := Gossip{
		Incarnation: m.incarnation,
		Leaving:     m.leaving,
		Gone:        m.departed,
		Version:     m.version,
	}
	g.Entries = m.appendReceiverStatus(g.Entries, to.ID)
	if to.Domain == m.self.Domain {
		g.Entries = m.appendUpdates(g.Entries, to.ID)
		g.Entries = m.appendRefreshed(g.Entries, to.ID)
		g.Digest = m.nextForeignDigest()
		return g
	}
	g.Entries = m.appendContacts(g.Entries, to.ID)
	g.Entries = m.appendIntroduction(g.Entries, to)
	g.Digest = m.ownDigest()
	return g
}

// appendReceiverStatus adds the receiver's own entry if it is suspect or dead or its
// incarnation is stale, so that the receiver can refute.
func (m *Machine) appendReceiverStatus(entries []Entry, to state.HostID) []Entry {
	known := m.members.get(to)
	if known == nil || known.status == state.HostAlive && !known.incarnationStale {
		return entries
	}
	return append(entries, known.entry())
}

func (m *Machine) appendUpdates(entries []Entry, to state.HostID) []Entry {
	maxTransmissions := TransmitFactor * bits.Len(uint(m.localDomainSize()))
	for _, id := range m.updates.nextBatch(MaxUpdatesPerMessage, maxTransmissions) {
		entries = m.appendEntry(entries, id, to)
	}
	return entries
}

// appendRefreshed adds entries round robin, which makes up for lost updates.
func (m *Machine) appendRefreshed(entries []Entry, to state.HostID) []Entry {
	count := min(MaxRefreshedPerMessage, len(m.members.sorted))
	for range count {
		m.refreshCursor = (m.refreshCursor + 1) % len(m.members.sorted)
		entries = m.appendEntry(entries, m.members.sorted[m.refreshCursor].host.ID, to)
	}
	return entries
}

func (m *Machine) appendEntry(entries []Entry, id, to state.HostID) []Entry {
	known := m.members.get(id)
	if known == nil || id == to {
		return entries
	}
	if slices.ContainsFunc(entries, func(e Entry) bool { return e.Host.ID == id }) {
		return entries
	}
	return append(entries, known.entry())
}
