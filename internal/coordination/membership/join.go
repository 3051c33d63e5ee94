package membership

import (
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// sync is the progress of fetching all entries page by page.
type sync struct {
	done  bool
	after state.HostID
	next  time.Time
}

func newSync() sync { return sync{} }

// addListed remembers hosts worth probing.
func (m *Machine) addListed(h state.Host) {
	if h.ID == m.self.ID || h.ID == "" || !h.Control.IsValid() {
		return
	}
	i, found := slices.BinarySearchFunc(m.listed, h.ID, func(x state.Host, id state.HostID) int {
		return compareIDs(x.ID, id)
	})
	if found {
		m.listed[i] = h
		return
	}
	m.listed = slices.Insert(m.listed, i, h)
	m.index.valid = false
}

// reconnect probes hosts that are listed or died lately and do not take part.
func (m *Machine) reconnect() {
	if m.now.Before(m.nextReconnect) {
		return
	}
	m.nextReconnect = m.now.Add(ReconnectInterval)
	near, far := m.candidates()
	fanout := 1
	if len(m.contacts(m.self.Domain)) == 0 {
		fanout = JoinFanout
		m.nextReconnect = m.now.Add(ProbeInterval)
	}
	m.probeSome(near, fanout)
	m.probeSome(far, 1)
}

func (m *Machine) probeSome(hosts []state.Host, count int) {
	m.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts[:min(count, len(hosts))] {
		m.startProbe(h)
	}
}

// candidates returns hosts of this domain, and of the domains that this host is
// a gateway to.
func (m *Machine) candidates() (near, far []state.Host) {
	gateway := make(map[state.DomainID]bool)
	for _, d := range m.indexed().foreign {
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
		if m.table.get(h.ID) == nil {
			add(h)
		}
	}
	m.table.each(func(k *member) {
		if k.dead() {
			add(k.host)
		}
	})
	return near, far
}

// continueSync asks a random host of this domain for the next page.
func (m *Machine) continueSync() {
	if m.sync.done || m.now.Before(m.sync.next) {
		return
	}
	peers := m.table.filter(func(k *member) bool {
		return k.host.Domain == m.self.Domain && k.status == state.HostAlive
	})
	if len(peers) == 0 {
		return
	}
	m.sync.next = m.now.Add(SyncInterval)
	peer := peers[m.rng.IntN(len(peers))].host
	m.send(peer, SyncRequest{After: m.sync.after, Gossip: m.gossipFor(peer)})
}

func (m *Machine) onSyncRequest(from state.Host, r SyncRequest) {
	start, found := m.table.search(r.After)
	if found {
		start++
	}
	end := min(start+SyncPage, len(m.table.sorted))
	reply := SyncReply{After: r.After, Last: end == len(m.table.sorted), Gossip: m.gossipFor(from)}
	for _, k := range m.table.sorted[start:end] {
		reply.Entries = append(reply.Entries, k.entry())
	}
	m.send(from, reply)
}

func (m *Machine) onSyncReply(from state.Host, r SyncReply) {
	for _, e := range r.Entries {
		m.apply(from, e)
	}
	if m.sync.done || r.After != m.sync.after {
		return
	}
	m.sync.done = r.Last
	if len(r.Entries) > 0 {
		m.sync.after = r.Entries[len(r.Entries)-1].Host.ID
	}
}
