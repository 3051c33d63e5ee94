package membership

import (
	"slices"

	"github.com/guavawharf/guavawharf/internal/state"
)

// applyGossip applies the sender's own state, its entries and its digest.
func (m *Machine) applyGossip(from state.Host, g Gossip) {
	status := state.HostAlive
	if g.Gone {
		status = state.HostDead
	}
	m.applyEntry(from, Entry{
		Host:        from,
		Status:      status,
		Leaving:     g.Leaving,
		Incarnation: g.Incarnation,
		Version:     g.Version,
	})
	m.updateIncarnationStale(from, g.Incarnation)
	for _, e := range g.Entries {
		m.applyEntry(from, e)
	}
	m.recordDigest(g.Digest)
}

// updateIncarnationStale records whether a host sends a lower incarnation than the
// known one, or the known one with other addresses. Such a host has restarted; the next
// message to it contains the known entry, which makes it raise its incarnation.
func (m *Machine) updateIncarnationStale(from state.Host, incarnation uint64) {
	known := m.members.get(from.ID)
	if known == nil {
		return
	}
	moved := known.incarnation == incarnation && known.host != from
	known.incarnationStale = known.incarnation > incarnation || moved
}

// applyEntry applies one entry; an entry about this host may make it refute.
func (m *Machine) applyEntry(from state.Host, e Entry) {
	if e.Host.ID == m.self.ID {
		m.refute(e)
		return
	}
	if e.Host.ID == "" || !m.acceptsStatus(from, e) {
		return
	}
	known := m.members.get(e.Host.ID)
	if known == nil {
		m.addMember(e)
		return
	}
	if known.supersededBy(e) {
		m.replace(known, e)
		return
	}
	m.merge(known, e)
}

// acceptsStatus reports whether the entry's status is accepted from the sender. A
// suspicion is accepted only from this domain: a refutation from another domain may
// arrive after the suspicion has expired. Death is accepted from this domain and from
// the dead host's own domain.
func (m *Machine) acceptsStatus(from state.Host, e Entry) bool {
	switch e.Status {
	case state.HostSuspect:
		return from.Domain == m.self.Domain
	case state.HostDead:
		return from.Domain == m.self.Domain || from.Domain == e.Host.Domain
	}
	return true
}

// refutationBits is the width of the low part of an incarnation, which counts the
// refutations of one run. The high part is the run of the process.
const refutationBits = 12

// firstIncarnation returns the first incarnation of a run.
func firstIncarnation(run uint64) uint64 { return run << refutationBits }

// runOf returns the run that an incarnation belongs to.
func runOf(incarnation uint64) uint64 { return incarnation >> refutationBits }

// refute raises this host's incarnation above that of an entry that contradicts its
// state. If the entry is about another run, or has other addresses, the host also
// moves to a later run, so that the others notice the restart.
func (m *Machine) refute(e Entry) {
	if e.Incarnation < m.incarnation || m.departed {
		return
	}
	moved := e.Host.Control.IsValid() && e.Host != m.self
	if e.Incarnation == m.incarnation && e.Status == state.HostAlive && !moved {
		return
	}
	m.incarnation = e.Incarnation + 1
	if moved || runOf(e.Incarnation) != m.run {
		m.run = max(m.run, runOf(e.Incarnation)) + 1
		m.incarnation = firstIncarnation(m.run)
	}
	m.invalidate()
}

func (m *Machine) addMember(e Entry) {
	if e.Status == state.HostDead || !e.Host.Control.IsValid() {
		return
	}
	known := &member{host: e.Host, incarnation: e.Incarnation, version: e.Version, leaving: e.Leaving}
	m.members.add(known)
	m.updates.add(e.Host.ID)
	m.invalidate()
	m.pruneContacts(e.Host.Domain)
}

// replace updates a member from an entry that supersedes it.
func (m *Machine) replace(known *member, e Entry) {
	if e.Incarnation > known.incarnation {
		known.version = e.Version
		known.leaving = e.Leaving
	}
	known.leaving = known.leaving || e.Leaving
	known.version = max(known.version, e.Version)
	known.incarnation = e.Incarnation
	known.incarnationStale = false
	if e.Host.Control.IsValid() {
		known.host = e.Host
	}
	m.setStatus(known, e.Status, e.By)
	m.pruneContacts(known.host.Domain)
}

// merge applies the release version and the confirmation of a suspicion from an entry
// of the same incarnation that does not supersede the member.
func (m *Machine) merge(known *member, e Entry) {
	if e.Incarnation != known.incarnation {
		return
	}
	known.version = max(known.version, e.Version)
	if e.Status == state.HostSuspect && known.status == state.HostSuspect {
		m.confirmSuspicion(known, e.By)
	}
}

// confirmSuspicion records that another host suspects the member independently.
func (m *Machine) confirmSuspicion(known *member, by state.HostID) {
	if by == "" || len(known.suspectedBy) > SuspicionConfirmations {
		return
	}
	if slices.Contains(known.suspectedBy, by) {
		return
	}
	known.suspectedBy = append(known.suspectedBy, by)
	m.updates.add(known.host.ID)
}

// setStatus changes a member's status and queues the change for gossip.
func (m *Machine) setStatus(known *member, status state.HostStatus, by state.HostID) {
	known.status = status
	known.suspectedBy = nil
	switch status {
	case state.HostSuspect:
		known.suspectedAt = m.now
		known.suspectedBy = append(known.suspectedBy, by)
	case state.HostDead:
		known.diedAt = m.now
	}
	m.updates.add(known.host.ID)
	m.invalidate()
}
