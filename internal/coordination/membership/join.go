package membership

import (
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// syncProgress tracks the initial sync, which fetches all entries page by page.
type syncProgress struct {
	done   bool
	after  state.HostID
	nextAt time.Time
}

func newSyncProgress() syncProgress { return syncProgress{} }

// addListedHost adds a host to probe while it is unknown, or updates its addresses.
func (m *Machine) addListedHost(h state.Host) {
	if h.ID == m.self.ID || h.ID == "" || !h.Control.IsValid() {
		return
	}
	i, found := slices.BinarySearchFunc(m.listed, h.ID, func(x state.Host, id state.HostID) int {
		return compareHostIDs(x.ID, id)
	})
	if found {
		m.listed[i] = h
		return
	}
	m.listed = slices.Insert(m.listed, i, h)
	m.domains.valid = false
}

// reconnect probes hosts that are listed but unknown or that died recently.
func (m *Machine) reconnect() {
	if m.now.Before(m.nextReconnectAt) {
		return
	}
	m.nextReconnectAt = m.now.Add(ReconnectInterval)
	local, foreign := m.reconnectCandidates()
	fanout := 1
	if len(m.liveMembers(m.self.Domain)) == 0 {
		fanout = JoinFanout
		m.nextReconnectAt = m.now.Add(ProbeInterval)
	}
	m.probeRandomHosts(local, fanout)
	m.probeRandomHosts(foreign, 1)
}

func (m *Machine) probeRandomHosts(hosts []state.Host, count int) {
	m.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts[:min(count, len(hosts))] {
		m.startProbe(h)
	}
}

// reconnectCandidates returns the hosts to reconnect to, in this domain and in the
// domains that this host is a gateway to and knows fewer than MaxContacts hosts of.
func (m *Machine) reconnectCandidates() (local, foreign []state.Host) {
	eligible := make(map[state.DomainID]bool)
	for _, d := range m.currentIndex().foreign {
		eligible[d.id] = d.gateway && len(d.live) < MaxContacts
	}
	add := func(h state.Host) {
		switch {
		case h.Domain == m.self.Domain:
			local = append(local, h)
		case eligible[h.Domain]:
			foreign = append(foreign, h)
		}
	}
	for _, h := range m.listed {
		if m.members.get(h.ID) == nil {
			add(h)
		}
	}
	m.members.forEach(func(k *member) {
		if k.dead() {
			add(k.host)
		}
	})
	return local, foreign
}

// requestSyncPage requests the next page from a random alive host of this domain, until
// the sync is complete.
func (m *Machine) requestSyncPage() {
	if m.sync.done || m.now.Before(m.sync.nextAt) {
		return
	}
	peers := m.members.filter(func(k *member) bool {
		return k.host.Domain == m.self.Domain && k.status == state.HostAlive
	})
	if len(peers) == 0 {
		return
	}
	m.sync.nextAt = m.now.Add(SyncInterval)
	peer := peers[m.rng.IntN(len(peers))].host
	m.send(peer, SyncRequest{After: m.sync.after, Gossip: m.gossipFor(peer)})
}

func (m *Machine) handleSyncRequest(from state.Host, r SyncRequest) {
	start, found := m.members.search(r.After)
	if found {
		start++
	}
	end := min(start+SyncPageSize, len(m.members.sorted))
	reply := SyncReply{After: r.After, Last: end == len(m.members.sorted), Gossip: m.gossipFor(from)}
	for _, k := range m.members.sorted[start:end] {
		reply.Entries = append(reply.Entries, k.entry())
	}
	m.send(from, reply)
}

func (m *Machine) handleSyncReply(from state.Host, r SyncReply) {
	for _, e := range r.Entries {
		m.applyEntry(from, e)
	}
	if m.sync.done || r.After != m.sync.after {
		return
	}
	m.sync.done = r.Last
	if len(r.Entries) > 0 {
		m.sync.after = r.Entries[len(r.Entries)-1].Host.ID
	}
}
