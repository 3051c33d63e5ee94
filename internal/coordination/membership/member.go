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
	// outdated marks a host that speaks with a lower incarnation than is known.
	outdated bool
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

// shownStatus is the member's status in the view.
func (m *member) shownStatus() state.HostStatus {
	if m.leaving && !m.dead() {
		return state.HostLeaving
	}
	return m.status
}

// supersedes tells whether e is newer than what is believed.
func (m *member) supersedes(e Entry) bool {
	if e.Incarnation != m.incarnation {
		return e.Incarnation > m.incarnation
	}
	if e.Status != m.status {
		return e.Status > m.status
	}
	return e.Leaving && !m.leaving
}

// table holds all members but this host, dead ones included.
type table struct {
	byID map[state.HostID]*member
	// order is sorted, so that walks are deterministic.
	order []state.HostID
}

func newTable() table { return table{byID: make(map[state.HostID]*member)} }

func (t *table) get(id state.HostID) *member { return t.byID[id] }

func (t *table) add(m *member) {
	i, found := slices.BinarySearch(t.order, m.host.ID)
	if !found {
		t.order = slices.Insert(t.order, i, m.host.ID)
	}
	t.byID[m.host.ID] = m
}

func (t *table) remove(id state.HostID) {
	i, found := slices.BinarySearch(t.order, id)
	if found {
		t.order = slices.Delete(t.order, i, i+1)
	}
	delete(t.byID, id)
}

// each calls visit for every member in order of ID.
func (t *table) each(visit func(*member)) {
	for _, id := range t.order {
		visit(t.byID[id])
	}
}

// filter returns the members that match, in order of ID.
func (t *table) filter(match func(*member) bool) []*member {
	var found []*member
	t.each(func(m *member) {
		if match(m) {
			found = append(found, m)
		}
	})
	return found
}
