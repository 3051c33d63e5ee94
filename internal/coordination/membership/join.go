package membership

import (
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// syncProgress is the progress of fetching all entries page by page.
type syncProgress struct {
	done   bool
	after  state.HostID
	nextAt time.Time
}

func newSyncProgress() syncProgress { return syncProgress{} }

// addListedHost remembers hosts worth probing.
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

// reconnect probes hosts that are listed or died lately and do not take part.
func (m *Machine) reconnect() {
	if m.now.Before(m.nextReconnectAt) {
		return
	}
	m.nextReconnectAt = m.now.Add(ReconnectInterval)
	near, far := m.reconnectCandidates()
	fanout := 1
	if len(m.liveMembers(m.self.Domain)) == 0 {
		fanout = JoinFanout
		m.nextReconnectAt = m.now.Add(ProbeInterval)
	}
	m.probeRandomHosts(near, fanout)
	m.probeRandomHosts(far, 1)
}

func (m *Machine) probeRandomHosts(hosts []state.Host, count int) {
	m.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts[:min(count, len(hosts))] {
		m.startProbe(h)
	}
}

// reconnectCandidates returns hosts of this domain, and of the domains that this host is
// a gateway to.
func (m *Machine) reconnectCandidates() (near, far []state.Host) {
	gateway := make(map[state.DomainID]bool)
	for _, d := range m.currentIndex().foreign {
		gateway[d.id] = d.gateway && len(d.live) < MaxContacts
	}
	add := func(h state.Host) {
		switch {
		case h.Domain == m.self.Domain:
			near = append(near, h)
		case gateway[h.Domain]:
			far = append(far, h)
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
	return near, far
}

// requestSyncPage asks a random host of this domain for the next page.
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
