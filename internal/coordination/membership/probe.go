package membership

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// probe is an unanswered probe sent by this host.
type probe struct {
	target    state.Host
	startedAt time.Time
	retried   bool
}

// relayedProbe is an unanswered probe made on behalf of another host.
type relayedProbe struct {
	requester    state.Host
	requesterSeq uint64
	target       state.HostID
	startedAt    time.Time
}

// probeState is the schedule of probes and the probes that await an answer.
type probeState struct {
	lastSeq uint64
	nextAt  time.Time
	pending map[uint64]*probe
	relayed map[uint64]relayedProbe
	// localRound contains the hosts of this domain still to be probed in this round.
	localRound []state.HostID
	// foreignCursor selects the next domain to probe. foreignRounds contains the hosts
	// still to be probed in the current round of each other domain.
	foreignCursor int
	foreignRounds map[state.DomainID][]state.HostID
}

func newProbeState() probeState {
	return probeState{
		pending:       make(map[uint64]*probe),
		relayed:       make(map[uint64]relayedProbe),
		foreignRounds: make(map[state.DomainID][]state.HostID),
	}
}

// startProbes sends this interval's probes if they are due: one within this domain and
// one to a domain that this host is a gateway to.
func (m *Machine) startProbes() {
	if m.now.Before(m.probes.nextAt) {
		return
	}
	jitter := (m.rng.Float64()*2 - 1) * probeJitter
	m.probes.nextAt = m.now.Add(time.Duration(float64(ProbeInterval) * (1 + jitter)))
	if target := m.nextLocalTarget(); target != nil {
		m.startProbe(target.host)
	}
	if target := m.nextForeignTarget(); target != nil {
		m.startProbe(target.host)
	}
}

func (m *Machine) nextLocalTarget() *member {
	return m.nextInRound(&m.probes.localRound, m.liveMembers(m.self.Domain))
}

// nextForeignTarget returns the next probe target of another domain, round robin over
// the domains that this host is a gateway to, or nil.
func (m *Machine) nextForeignTarget() *member {
	foreign := m.currentIndex().foreign
	for range foreign {
		m.probes.foreignCursor++
		d := &foreign[m.probes.foreignCursor%len(foreign)]
		if !d.gateway {
			continue
		}
		round := m.probes.foreignRounds[d.id]
		target := m.nextInRound(&round, d.live)
		m.probes.foreignRounds[d.id] = round
		if target != nil {
			return target
		}
	}
	return nil
}

// nextInRound removes and returns the next live host of a round. It shuffles all hosts
// into a new round once the old one is exhausted.
func (m *Machine) nextInRound(round *[]state.HostID, members []*member) *member {
	for range 2 {
		for len(*round) > 0 {
			id := (*round)[0]
			*round = (*round)[1:]
			if known := m.members.get(id); known != nil && !known.dead() {
				return known
			}
		}
		*round = m.shuffledIDs(members)
	}
	return nil
}

func (m *Machine) shuffledIDs(members []*member) []state.HostID {
	ids := make([]state.HostID, 0, len(members))
	for _, k := range members {
		ids = append(ids, k.host.ID)
	}
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

func (m *Machine) startProbe(target state.Host) {
	m.probes.lastSeq++
	m.probes.pending[m.probes.lastSeq] = &probe{target: target, startedAt: m.now}
	m.send(target, Probe{Seq: m.probes.lastSeq, Gossip: m.gossipFor(target)})
}

// checkProbes retries the probes older than ProbeTimeout and fails those older than
// ProbeDeadline, in the order in which they were started.
func (m *Machine) checkProbes() {
	for _, seq := range sortedKeys(m.probes.pending) {
		p := m.probes.pending[seq]
		age := m.now.Sub(p.startedAt)
		if age >= ProbeDeadline {
			delete(m.probes.pending, seq)
			m.probeFailed(p.target.ID)
			continue
		}
		if age >= ProbeTimeout && !p.retried {
			p.retried = true
			m.retryProbe(seq, p.target)
		}
	}
	for _, seq := range sortedKeys(m.probes.relayed) {
		if m.now.Sub(m.probes.relayed[seq].startedAt) >= ProbeDeadline {
			delete(m.probes.relayed, seq)
		}
	}
}

// retryProbe sends a probe again directly and asks other hosts to probe the target.
func (m *Machine) retryProbe(seq uint64, target state.Host) {
	known := m.members.get(target.ID)
	if known == nil || known.dead() {
		return
	}
	m.send(target, Probe{Seq: seq, Gossip: m.gossipFor(target)})
	for _, prober := range m.pickIndirectProbers(target) {
		m.send(prober, IndirectProbe{Seq: seq, Target: target, Gossip: m.gossipFor(prober)})
	}
}

// pickIndirectProbers picks random alive hosts of this domain and of the target's
// domain. Hosts of a third domain would hide that the two domains can't reach each
// other.
func (m *Machine) pickIndirectProbers(target state.Host) []state.Host {
	candidates := m.members.filter(func(k *member) bool {
		if k.status != state.HostAlive || k.host.ID == target.ID {
			return false
		}
		return k.host.Domain == m.self.Domain || k.host.Domain == target.Domain
	})
	ids := m.shuffledIDs(candidates)
	ids = ids[:min(len(ids), IndirectProbes)]
	picked := make([]state.Host, 0, len(ids))
	for _, id := range ids {
		picked = append(picked, m.members.get(id).host)
	}
	return picked
}

// probeFailed marks a host as suspected by this host.
func (m *Machine) probeFailed(id state.HostID) {
	known := m.members.get(id)
	if known == nil || known.dead() {
		return
	}
	if known.status == state.HostSuspect {
		m.confirmSuspicion(known, m.self.ID)
		return
	}
	m.setStatus(known, state.HostSuspect, m.self.ID)
}

func (m *Machine) handleProbe(from state.Host, p Probe) {
	m.send(from, Ack{Seq: p.Seq, Gossip: m.gossipFor(from)})
}

func (m *Machine) handleAck(from state.Host, a Ack) {
	if e, ok := m.probes.relayed[a.Seq]; ok && e.target == from.ID {
		delete(m.probes.relayed, a.Seq)
		m.send(e.requester, Ack{Seq: e.requesterSeq, Subject: e.target, Gossip: m.gossipFor(e.requester)})
		return
	}
	p, ok := m.probes.pending[a.Seq]
	if !ok {
		return
	}
	if p.target.ID == from.ID || p.target.ID == a.Subject {
		delete(m.probes.pending, a.Seq)
	}
}

func (m *Machine) handleIndirectProbe(from state.Host, p IndirectProbe) {
	if len(m.probes.relayed) >= maxRelayedProbes || !p.Target.Control.IsValid() {
		return
	}
	m.probes.lastSeq++
	m.probes.relayed[m.probes.lastSeq] = relayedProbe{
		requester:    from,
		requesterSeq: p.Seq,
		target:       p.Target.ID,
		startedAt:    m.now,
	}
	m.send(p.Target, Probe{Seq: m.probes.lastSeq, Gossip: m.gossipFor(p.Target)})
}
