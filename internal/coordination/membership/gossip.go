package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/guavawharf/guavawharf/internal/state"
)

// update is a recent change that is still being passed on.
type update struct {
	id            state.HostID
	transmissions int
}

// updateQueue holds at most one update per host.
type updateQueue struct {
	pending []update
}

// add puts the host's entry first in line.
func (u *updateQueue) add(id state.HostID) {
	u.remove(id)
	u.pending = append(u.pending, update{id: id})
}

func (u *updateQueue) remove(id state.HostID) {
	u.pending = slices.DeleteFunc(u.pending, func(x update) bool { return x.id == id })
}

// nextBatch returns up to limit hosts, those passed on least often first, and drops
// each after it has been passed on often enough.
func (u *updateQueue) nextBatch(limit, transmissions int) []state.HostID {
	slices.SortStableFunc(u.pending, func(a, b update) int { return cmp.Compare(a.transmissions, b.transmissions) })
	limit = min(limit, len(u.pending))
	taken := make([]state.HostID, 0, limit)
	for i := range limit {
		taken = append(taken, u.pending[i].id)
		u.pending[i].transmissions++
	}
	u.pending = slices.DeleteFunc(u.pending, func(x update) bool { return x.transmissions >= transmissions })
	return taken
}

// gossipFor assembles what a message to the given host carries.
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

// appendReceiverStatus tells a host that is not believed alive, so that it refutes.
func (m *Machine) appendReceiverStatus(entries []Entry, to state.HostID) []Entry {
	known := m.members.get(to)
	if known == nil || known.status == state.HostAlive && !known.incarnationStale {
		return entries
	}
	return append(entries, known.entry())
}

func (m *Machine) appendUpdates(entries []Entry, to state.HostID) []Entry {
	transmissions := TransmitFactor * bits.Len(uint(m.localDomainSize()))
	for _, id := range m.updates.nextBatch(MaxUpdatesPerMessage, transmissions) {
		entries = m.appendEntry(entries, id, to)
	}
	return entries
}

// appendRefreshed repeats entries in turn, so that a lost update is made good.
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
