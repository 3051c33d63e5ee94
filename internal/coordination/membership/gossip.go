package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/guavawharf/guavawharf/internal/state"
)

// update is a recent change that is still being passed on.
type update struct {
	id   state.HostID
	sent int
}

// updates holds at most one update per host.
type updates struct {
	queue []update
}

// add puts the host's entry first in line.
func (u *updates) add(id state.HostID) {
	u.remove(id)
	u.queue = append(u.queue, update{id: id})
}

func (u *updates) remove(id state.HostID) {
	u.queue = slices.DeleteFunc(u.queue, func(x update) bool { return x.id == id })
}

// take returns up to limit hosts, those passed on least often first, and drops
// each after it has been passed on often enough.
func (u *updates) take(limit, transmissions int) []state.HostID {
	slices.SortStableFunc(u.queue, func(a, b update) int { return cmp.Compare(a.sent, b.sent) })
	limit = min(limit, len(u.queue))
	taken := make([]state.HostID, 0, limit)
	for i := range limit {
		taken = append(taken, u.queue[i].id)
		u.queue[i].sent++
	}
	u.queue = slices.DeleteFunc(u.queue, func(x update) bool { return x.sent >= transmissions })
	return taken
}

// gossipFor assembles what a message to the given host carries.
func (m *Machine) gossipFor(to state.Host) Gossip {
	g := Gossip{
		Incarnation: m.incarnation,
		Leaving:     m.leaving,
		Gone:        m.gone,
		Version:     m.version,
	}
	g.Entries = m.aboutReceiver(g.Entries, to.ID)
	if to.Domain == m.self.Domain {
		g.Entries = m.recentChanges(g.Entries, to.ID)
		g.Entries = m.refreshed(g.Entries, to.ID)
		g.Digest = m.foreignDigest()
		return g
	}
	g.Entries = m.contactEntries(g.Entries, to.ID)
	g.Entries = m.introduction(g.Entries, to)
	g.Digest = m.ownDigest()
	return g
}

// aboutReceiver tells a host that is not believed alive, so that it refutes.
func (m *Machine) aboutReceiver(entries []Entry, to state.HostID) []Entry {
	known := m.table.get(to)
	if known == nil || known.status == state.HostAlive && !known.outdated {
		return entries
	}
	return append(entries, known.entry())
}

func (m *Machine) recentChanges(entries []Entry, to state.HostID) []Entry {
	transmissions := TransmitFactor * bits.Len(uint(m.domainSize()))
	for _, id := range m.updates.take(MaxUpdates, transmissions) {
		entries = m.appendEntry(entries, id, to)
	}
	return entries
}

// refreshed repeats entries in turn, so that a lost update is made good.
func (m *Machine) refreshed(entries []Entry, to state.HostID) []Entry {
	count := min(MaxRefreshed, len(m.table.sorted))
	for range count {
		m.refresh = (m.refresh + 1) % len(m.table.sorted)
		entries = m.appendEntry(entries, m.table.sorted[m.refresh].host.ID, to)
	}
	return entries
}

func (m *Machine) appendEntry(entries []Entry, id, to state.HostID) []Entry {
	known := m.table.get(id)
	if known == nil || id == to {
		return entries
	}
	if slices.ContainsFunc(entries, func(e Entry) bool { return e.Host.ID == id }) {
		return entries
	}
	return append(entries, known.entry())
}
