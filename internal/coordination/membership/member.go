package membership

import (
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// member is the state of another host as this host knows it.
type member struct {
	host        state.Host
	status      state.HostStatus
	leaving     bool
	incarnation uint64
	version     state.ReleaseVersion
	// suspectedAt and suspectedBy are valid while the status is HostSuspect. The first
	// host in suspectedBy raised the suspicion, the others confirmed it.
	suspectedAt time.Time
	suspectedBy []state.HostID
	// diedAt is valid while the status is HostDead.
	diedAt time.Time
	// incarnationStale is set while the host itself sends a lower incarnation than the
	// known one, or the known one with other addresses.
	incarnationStale bool
}

func (m *member) dead() bool { return m.status == state.HostDead }

// entry returns the gossip entry for the member.
func (m *member) entry() Entry {
	e := Entry{
		Host:        m.host,
		Status:      m.status,
		Leaving:     m.leaving,
		Incarnation: m.incarnation,
		Version:     m.version,
	}
	if m.status != state.HostAlive {
		e.Host = state.Host{ID: m.host.ID, Domain: m.host.Domain}
	}
	if m.status == state.HostSuspect {
		e.By = m.suspectedBy[len(m.suspectedBy)-1]
	}
	return e
}

// viewStatus returns the member's status in the view.
func (m *member) viewStatus() state.HostStatus {
	if m.leaving && !m.dead() {
		return state.HostLeaving
	}
	return m.status
}

// viewMember returns the member in the form used by the view.
func (m *member) viewMember() state.Member {
	return state.Member{
		Host:   m.host,
		Status: m.viewStatus(),
		Run:    runOf(m.incarnation),
	}
}

// supersededBy reports whether e is newer than the known state.
func (m *member) supersededBy(e Entry) bool {
	if e.Incarnation != m.incarnation {
		return e.Incarnation > m.incarnation
	}
	if e.Status != m.status {
		return e.Status > m.status
	}
	return e.Leaving && !m.leaving
}

// memberTable contains all members except this host. It includes dead ones.
type memberTable struct {
	byID map[state.HostID]*member
	// sorted is in ID order, so that iteration is deterministic.
	sorted []*member
}

func newMemberTable() memberTable { return memberTable{byID: make(map[state.HostID]*member)} }

func (t *memberTable) get(id state.HostID) *member { return t.byID[id] }

// search returns the index of a host in sorted, or the index to insert it at, and
// reports whether it was found.
func (t *memberTable) search(id state.HostID) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(m *member, id state.HostID) int {
		return compareHostIDs(m.host.ID, id)
	})
}

func (t *memberTable) add(m *member) {
	i, found := t.search(m.host.ID)
	if !found {
		t.sorted = slices.Insert(t.sorted, i, m)
	}
	t.byID[m.host.ID] = m
}

func (t *memberTable) remove(id state.HostID) {
	if i, found := t.search(id); found {
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
	delete(t.byID, id)
}

// forEach calls visit for every member in ID order.
func (t *memberTable) forEach(visit func(*member)) {
	for _, m := range t.sorted {
		visit(m)
	}
}

// filter returns the members that match, in ID order.
func (t *memberTable) filter(match func(*member) bool) []*member {
	var found []*member
	for _, m := range t.sorted {
		if match(m) {
			found = append(found, m)
		}
	}
	return found
}
