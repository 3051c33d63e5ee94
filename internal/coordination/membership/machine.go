// Package membership keeps one host's belief about all entry hosts. Hosts of a
// failure domain probe each other and carry small updates on the probes; a few
// hosts chosen by hash probe the other domains. It is a pure state machine: the
// time and the random source are passed in, messages are returned.
package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// maxErrands bounds the probes made for other hosts at one time.
const maxErrands = 64

// Machine is the membership of one host. It is not safe for concurrent use.
type Machine struct {
	self state.Host
	// run numbers the run of this process, for this host.
	run         uint64
	incarnation uint64
	leaving     bool
	gone        bool
	version     state.ReleaseVersion
	rng         *rand.Rand
	now         time.Time
	out         []message.Outgoing

	table   table
	index   index
	listed  []state.Host
	updates updates
	probes  probing
	sync    sync
	digests []Digest

	refresh       int
	contactTurn   int
	thirdTurn     int
	digestTurn    int
	suspectTurn   int
	nextReconnect time.Time
	nextSuspects  time.Time

	view  state.MembershipView
	stale bool
}

// HostVersion is the release version that a host is known to have.
type HostVersion struct {
	Host    state.HostID
	Version state.ReleaseVersion
}

// New returns a machine that knows only its own host. A restarted host passes a
// higher run than before, such as its start time in microseconds; if it does
// not, it is told and raises it. The run must be below 2^52.
func New(self state.Host, run uint64, rng *rand.Rand) *Machine {
	return &Machine{
		self:        self,
		run:         run,
		incarnation: firstIncarnation(run),
		rng:         rng,
		table:       newTable(),
		probes:      newProbing(),
		sync:        newSync(),
		stale:       true,
	}
}

// Tick lets time pass; it is called at least every ProbeTimeout.
func (m *Machine) Tick(now time.Time) []message.Outgoing {
	m.advance(now)
	if m.gone {
		return nil
	}
	m.checkProbes()
	m.checkSuspicions()
	m.probeSuspects()
	m.forgetDead()
	m.startProbes()
	m.reconnect()
	m.continueSync()
	return m.flush()
}

// Handles tells whether the message belongs to membership.
func (m *Machine) Handles(msg message.Message) bool {
	switch msg.(type) {
	case Probe, Ack, IndirectProbe, SyncRequest, SyncReply:
		return true
	}
	return false
}

// Receive takes in a message from another host.
func (m *Machine) Receive(now time.Time, from state.Host, msg message.Message) []message.Outgoing {
	if from.ID == m.self.ID || from.ID == "" {
		return nil
	}
	m.advance(now)
	switch v := msg.(type) {
	case Probe:
		m.hear(from, v.Gossip)
		m.onProbe(from, v)
	case Ack:
		m.hear(from, v.Gossip)
		m.onAck(from, v)
	case IndirectProbe:
		m.hear(from, v.Gossip)
		m.onIndirectProbe(from, v)
	case SyncRequest:
		m.hear(from, v.Gossip)
		m.onSyncRequest(from, v)
	case SyncReply:
		m.hear(from, v.Gossip)
		m.onSyncReply(from, v)
	}
	return m.flush()
}

// Seed adds hosts to try at start, such as those of the settings.
func (m *Machine) Seed(now time.Time, hosts []state.Host) {
	m.advance(now)
	for _, h := range hosts {
		m.addListed(h)
	}
}

// HostList takes the platform's list. It adds hosts to try and replaces the
// hosts of earlier lists; it removes no member and marks none as leaving.
func (m *Machine) HostList(now time.Time, list objects.HostList) {
	m.advance(now)
	m.listed = nil
	m.index.valid = false
	for _, h := range list.Hosts {
		if !h.Leaving {
			m.addListed(h.Host)
		}
	}
}

// Leave announces that this host is leaving.
func (m *Machine) Leave(now time.Time) []message.Outgoing {
	m.advance(now)
	if m.leaving {
		return nil
	}
	m.leaving = true
	m.incarnation++
	m.changed()
	for _, k := range m.announcees() {
		m.startProbe(k)
	}
	return m.flush()
}

// Depart tells that this host has left: the others take it for dead at once
// instead of finding out by probes. It only answers from now on.
func (m *Machine) Depart(now time.Time) []message.Outgoing {
	m.advance(now)
	if m.gone {
		return nil
	}
	m.leaving = true
	m.gone = true
	for _, k := range m.announcees() {
		m.send(k, Ack{Gossip: m.gossipFor(k)})
	}
	return m.flush()
}

// announcees picks hosts to tell at once: some of this domain and one of each
// other domain.
func (m *Machine) announcees() []state.Host {
	var hosts []state.Host
	add := func(members []*member, limit int) {
		for _, id := range m.shuffled(members)[:min(limit, len(members))] {
			hosts = append(hosts, m.table.get(id).host)
		}
	}
	add(m.contacts(m.self.Domain), JoinFanout)
	for _, d := range m.indexed().foreign {
		add(d.live, 1)
	}
	return hosts
}

// SetReleaseVersion sets the release version that this host has in force.
func (m *Machine) SetReleaseVersion(v state.ReleaseVersion) { m.version = v }

// ReleaseVersions returns the newest known version of every host in the view,
// this host included, sorted by host.
func (m *Machine) ReleaseVersions() []HostVersion {
	versions := []HostVersion{{Host: m.self.ID, Version: m.version}}
	m.table.each(func(k *member) {
		if !k.dead() {
			versions = append(versions, HostVersion{Host: k.host.ID, Version: k.version})
		}
	})
	slices.SortFunc(versions, func(a, b HostVersion) int { return compareIDs(a.Host, b.Host) })
	return versions
}

// Digests returns the newest digest of every domain, this host's own first.
func (m *Machine) Digests() []Digest {
	return append([]Digest{m.ownDigest()}, m.digests...)
}

// Messages returns the message types with their names on the wire.
func (m *Machine) Messages() []message.Registration { return Messages() }

// View returns the current view. The members slice is shared and stays the same
// until something changes; it must not be modified. A member's incarnation is the
// number of its run: it changes when the host restarts, not when it refutes.
func (m *Machine) View() state.MembershipView {
	if m.stale {
		m.rebuildView()
	}
	return m.view
}

func (m *Machine) rebuildView() {
	status := state.HostAlive
	if m.leaving {
		status = state.HostLeaving
	}
	members := []state.Member{{Host: m.self, Status: status, Incarnation: m.run}}
	m.table.each(func(k *member) {
		if !k.dead() {
			members = append(members, k.shown())
		}
	})
	slices.SortFunc(members, func(a, b state.Member) int { return compareIDs(a.ID, b.ID) })
	m.stale = false
	if slices.Equal(members, m.view.Members) {
		return
	}
	m.view = state.MembershipView{Epoch: m.view.Epoch + 1, Members: members}
}

// domainSize counts the hosts of this domain that are not dead.
func (m *Machine) domainSize() int { return len(m.contacts(m.self.Domain)) + 1 }

// advance sets the current time, which never runs backwards.
func (m *Machine) advance(now time.Time) {
	if !m.now.IsZero() {
		m.absorbPause(now.Sub(m.now))
	}
	if now.After(m.now) {
		m.now = now
	}
}

// changed marks what is derived from the table as stale.
func (m *Machine) changed() {
	m.stale = true
	m.index.valid = false
}

func (m *Machine) send(to state.Host, msg message.Message) {
	m.out = append(m.out, message.Outgoing{To: to, Message: msg})
}

func (m *Machine) flush() []message.Outgoing {
	out := m.out
	m.out = nil
	return out
}

func compareIDs(a, b state.HostID) int { return cmp.Compare(a, b) }

func sortedKeys[V any](m map[uint64]V) []uint64 {
	return slices.Sorted(maps.Keys(m))
}
