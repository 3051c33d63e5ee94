// Package membership detects which entry hosts are alive, with a SWIM-style gossip
// protocol. The hosts of a failure domain probe each other and piggyback status
// updates on the probes. A few hosts of each domain, chosen by hash, probe the other
// domains. The package is a pure state machine: callers pass in the time and the
// random source and send the messages that it returns.
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

// maxRelayedProbes bounds the pending probes made on behalf of other hosts.
const maxRelayedProbes = 64

// Machine is the membership state machine of one host. It is not safe for concurrent
// use.
type Machine struct {
	self state.Host
	// run identifies this run of the host's process. It is higher than that of earlier
	// runs.
	run         uint64
	incarnation uint64
	leaving     bool
	departed    bool
	version     state.ReleaseVersion
	rng         *rand.Rand
	now         time.Time
	outgoing    []message.Outgoing

	members memberTable
	domains domainIndex
	// listed are the seeds, or the hosts of the platform's last list, in ID order.
	listed  []state.Host
	updates updateQueue
	probes  probeState
	sync    syncProgress
	digests []Digest

	// The cursors are positions of round-robin walks.
	refreshCursor       int
	contactCursor       int
	introductionCursor  int
	digestCursor        int
	suspectCursor       int
	nextReconnectAt     time.Time
	nextSuspectProbesAt time.Time

	view      state.MembershipView
	viewStale bool
}

// HostVersion is the latest known release version of a host.
type HostVersion struct {
	Host    state.HostID
	Version state.ReleaseVersion
}

// New returns a machine that knows only its own host. A restarted host should pass a
// higher run than before, such as its start time in microseconds. If it does not, it
// learns the previous run from other hosts and raises its own above it. The run must
// be below 2^52.
func New(self state.Host, run uint64, rng *rand.Rand) *Machine {
	return &Machine{
		self:        self,
		run:         run,
		incarnation: firstIncarnation(run),
		rng:         rng,
		members:     newMemberTable(),
		probes:      newProbeState(),
		sync:        newSyncProgress(),
		viewStale:   true,
	}
}

// Tick advances the clock, runs what is due and returns the messages to send. It must
// be called at least every ProbeTimeout.
func (m *Machine) Tick(now time.Time) []message.Outgoing {
	m.advanceClock(now)
	if m.departed {
		return nil
	}
	m.checkProbes()
	m.expireSuspicions()
	m.probeSuspects()
	m.expireTombstones()
	m.startProbes()
	m.reconnect()
	m.requestSyncPage()
	return m.drainOutgoing()
}

// Handles reports whether the message is a membership message.
func (m *Machine) Handles(msg message.Message) bool {
	switch msg.(type) {
	case Probe, Ack, IndirectProbe, SyncRequest, SyncReply:
		return true
	}
	return false
}

// Receive handles a message from another host and returns the messages to send.
func (m *Machine) Receive(now time.Time, from state.Host, msg message.Message) []message.Outgoing {
	if from.ID == m.self.ID || from.ID == "" {
		return nil
	}
	m.advanceClock(now)
	switch v := msg.(type) {
	case Probe:
		m.applyGossip(from, v.Gossip)
		m.handleProbe(from, v)
	case Ack:
		m.applyGossip(from, v.Gossip)
		m.handleAck(from, v)
	case IndirectProbe:
		m.applyGossip(from, v.Gossip)
		m.handleIndirectProbe(from, v)
	case SyncRequest:
		m.applyGossip(from, v.Gossip)
		m.handleSyncRequest(from, v)
	case SyncReply:
		m.applyGossip(from, v.Gossip)
		m.handleSyncReply(from, v)
	}
	return m.drainOutgoing()
}

// AddSeeds adds hosts to probe at start, such as the seeds in the settings.
func (m *Machine) AddSeeds(now time.Time, hosts []state.Host) {
	m.advanceClock(now)
	for _, h := range hosts {
		m.addListedHost(h)
	}
}

// SetHostList replaces the seeds and the hosts of earlier lists with the hosts to probe
// from the platform's list; it skips those marked as leaving. It neither removes
// members nor marks them as leaving.
func (m *Machine) SetHostList(now time.Time, list objects.HostList) {
	m.advanceClock(now)
	m.listed = nil
	m.domains.valid = false
	for _, h := range list.Hosts {
		if !h.Leaving {
			m.addListedHost(h.Host)
		}
	}
}

// AnnounceLeaving announces that this host is leaving. Repeated calls have no effect.
func (m *Machine) AnnounceLeaving(now time.Time) []message.Outgoing {
	m.advanceClock(now)
	if m.leaving {
		return nil
	}
	m.leaving = true
	m.incarnation++
	m.invalidate()
	for _, k := range m.announcementRecipients() {
		m.startProbe(k)
	}
	return m.drainOutgoing()
}

// AnnounceDeparture announces that this host has left, so that the others mark it dead
// at once instead of after failed probes. From then on the machine only answers
// messages. Repeated calls have no effect.
func (m *Machine) AnnounceDeparture(now time.Time) []message.Outgoing {
	m.advanceClock(now)
	if m.departed {
		return nil
	}
	m.leaving = true
	m.departed = true
	for _, k := range m.announcementRecipients() {
		m.send(k, Ack{Gossip: m.gossipFor(k)})
	}
	return m.drainOutgoing()
}

// announcementRecipients picks the hosts that an announcement is sent to directly: up
// to JoinFanout of this domain and one of each other domain.
func (m *Machine) announcementRecipients() []state.Host {
	var hosts []state.Host
	add := func(candidates []*member, limit int) {
		for _, id := range m.shuffledIDs(candidates)[:min(limit, len(candidates))] {
			hosts = append(hosts, m.members.get(id).host)
		}
	}
	add(m.liveMembers(m.self.Domain), JoinFanout)
	for _, d := range m.currentIndex().foreign {
		add(d.live, 1)
	}
	return hosts
}

// SetReleaseVersion sets the version of the release in force on this host.
func (m *Machine) SetReleaseVersion(v state.ReleaseVersion) { m.version = v }

// ReleaseVersions returns the newest known release version of every host in the view,
// including this host, sorted by host ID.
func (m *Machine) ReleaseVersions() []HostVersion {
	versions := []HostVersion{{Host: m.self.ID, Version: m.version}}
	m.members.forEach(func(k *member) {
		if !k.dead() {
			versions = append(versions, HostVersion{Host: k.host.ID, Version: k.version})
		}
	})
	slices.SortFunc(versions, func(a, b HostVersion) int { return compareHostIDs(a.Host, b.Host) })
	return versions
}

// Digests returns the newest digest of every known domain, this host's own first.
func (m *Machine) Digests() []Digest {
	return append([]Digest{m.ownDigest()}, m.digests...)
}

// Messages returns the message types with their names on the wire.
func (m *Machine) Messages() []message.Registration { return Messages() }

// View returns the current view. Its members slice is shared and must not be modified;
// calls return the same slice until the view changes. A member's incarnation in the
// view is its run: it changes when the host restarts, not when it refutes a suspicion.
func (m *Machine) View() state.MembershipView {
	if m.viewStale {
		m.rebuildView()
	}
	return m.view
}

func (m *Machine) rebuildView() {
	status := state.HostAlive
	if m.leaving {
		status = state.HostLeaving
	}
	members := []state.Member{{Host: m.self, Status: status, Run: m.run}}
	m.members.forEach(func(k *member) {
		if !k.dead() {
			members = append(members, k.viewMember())
		}
	})
	slices.SortFunc(members, func(a, b state.Member) int { return compareHostIDs(a.ID, b.ID) })
	m.viewStale = false
	if slices.Equal(members, m.view.Members) {
		return
	}
	m.view = state.MembershipView{Epoch: m.view.Epoch + 1, Members: members}
}

// localDomainSize returns the number of hosts in this domain that are not dead,
// including this host.
func (m *Machine) localDomainSize() int { return len(m.liveMembers(m.self.Domain)) + 1 }

// advanceClock sets the current time; an earlier time than the current one is ignored.
func (m *Machine) advanceClock(now time.Time) {
	if !m.now.IsZero() {
		m.handleLocalPause(now.Sub(m.now))
	}
	if now.After(m.now) {
		m.now = now
	}
}

// invalidate marks the view and the domain index as stale.
func (m *Machine) invalidate() {
	m.viewStale = true
	m.domains.valid = false
}

func (m *Machine) send(to state.Host, msg message.Message) {
	m.outgoing = append(m.outgoing, message.Outgoing{To: to, Message: msg})
}

// drainOutgoing returns the queued messages and empties the queue.
func (m *Machine) drainOutgoing() []message.Outgoing {
	out := m.outgoing
	m.outgoing = nil
	return out
}

func compareHostIDs(a, b state.HostID) int { return cmp.Compare(a, b) }

func sortedKeys[V any](m map[uint64]V) []uint64 {
	return slices.Sorted(maps.Keys(m))
}
