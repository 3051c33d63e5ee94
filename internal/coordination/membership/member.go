package membership

import (
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// member is this host's belief about another host.
type member struct {
	host        state.Host
	status      state.HostStatus
	leaving     bool
	incarnation uint64
	version     state.ReleaseVersion
	// suspectedAt and suspectedBy belong to HostSuspect.
	suspectedAt time.Time
	suspectedBy []state.HostID
	// diedAt belongs to HostDead.
	diedAt time.Time
	// incarnationStale marks a host that speaks with a lower incarnation than is known.
	incarnationStale bool
}

func (m *member) dead() bool { return m.status == state.HostDead }

// entry describes the member to other hosts.
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

// viewStatus is the member's status in the view.
func (m *member) viewStatus() state.HostStatus {
	if m.leaving && !m.dead() {
		return state.HostLeaving
	}
	return m.status
}

// viewMember is the member as the view holds it.
func (m *member) viewMember() state.Member {
	return state.Member{
		Host:        m.host,
		Status:      m.viewStatus(),
		Incarnation: runOf(m.incarnation),
	}
}

// supersededBy tells whether e is newer than what is believed.
func (m *member) supersededBy(e Entry) bool {
	if e.Incarnation != m.incarnation {
		return e.Incarnation > m.incarnation
	}
	if e.Status != m.status {
		return e.Status > m.status
	}
	return e.Leaving && !m.leaving
}

// memberTable holds all members but this host, dead ones included.
type memberTable struct {
	byID map[state.HostID]*member
	// sorted is in order of ID, so that walks are deterministic.
	sorted []*member
}

func newTable() memberTable { return memberTable{byID: make(map[state.HostID]*member)} }

func (t *memberTable) get(id state.HostID) *member { return t.byID[id] }

// search returns the place of a host in the order, and whether it is there.
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

// forEach calls visit for every member in order of ID.
func (t *memberTable) forEach(visit func(*member)) {
	for _, m := range t.sorted {
		visit(m)
	}
}

// filter returns the members that match, in order of ID.
func (t *memberTable) filter(match func(*member) bool) []*member {
	var found []*member
	for _, m := range t.sorted {
		if match(m) {
			found = append(found, m)
		}
	}
	return found
}
