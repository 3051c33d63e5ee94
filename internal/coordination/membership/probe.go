package membership

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// probe is a probe of this host that awaits its answer.
type probe struct {
	target   state.Host
	started  time.Time
	indirect bool
}

// errand is a probe made for another host.
type errand struct {
	origin    state.Host
	originSeq uint64
	target    state.HostID
	started   time.Time
}

// probing is the bookkeeping of probes.
type probing struct {
	seq     uint64
	next    time.Time
	pending map[uint64]*probe
	errands map[uint64]errand
	// round holds the hosts of this domain still to be probed in this round.
	round []state.HostID
	// domainTurn and domainRounds do the same for each other domain.
	domainTurn   int
	domainRounds map[state.DomainID][]state.HostID
}

func newProbing() probing {
	return probing{
		pending:      make(map[uint64]*probe),
		errands:      make(map[uint64]errand),
		domainRounds: make(map[state.DomainID][]state.HostID),
	}
}

// startProbes begins this interval's probes when they are due.
func (m *Machine) startProbes() {
	if m.now.Before(m.probes.next) {
		return
	}
	jitter := (m.rng.Float64()*2 - 1) * probeJitter
	m.probes.next = m.now.Add(time.Duration(float64(ProbeInterval) * (1 + jitter)))
	if target := m.nextInDomain(); target != nil {
		m.startProbe(target.host)
	}
	if target := m.nextForeign(); target != nil {
		m.startProbe(target.host)
	}
}

func (m *Machine) nextInDomain() *member {
	return m.nextOf(&m.probes.round, m.contacts(m.self.Domain))
}

// nextForeign takes the domains that this host is a gateway to in turn.
func (m *Machine) nextForeign() *member {
	foreign := m.indexed().foreign
	for range foreign {
		m.probes.domainTurn++
		d := &foreign[m.probes.domainTurn%len(foreign)]
		if !d.gateway {
			continue
		}
		round := m.probes.domainRounds[d.id]
		target := m.nextOf(&round, d.live)
		m.probes.domainRounds[d.id] = round
		if target != nil {
			return target
		}
	}
	return nil
}

// nextOf takes the next live host of a round and shuffles a new round when the
// old one is used up.
func (m *Machine) nextOf(round *[]state.HostID, all []*member) *member {
	for range 2 {
		for len(*round) > 0 {
			id := (*round)[0]
			*round = (*round)[1:]
			if known := m.table.get(id); known != nil && !known.dead() {
				return known
			}
		}
		*round = m.shuffled(all)
	}
	return nil
}

func (m *Machine) shuffled(members []*member) []state.HostID {
	ids := make([]state.HostID, 0, len(members))
	for _, k := range members {
		ids = append(ids, k.host.ID)
	}
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

func (m *Machine) startProbe(target state.Host) {
	m.probes.seq++
	m.probes.pending[m.probes.seq] = &probe{target: target, started: m.now}
	m.send(target, Probe{Seq: m.probes.seq, Gossip: m.gossipFor(target)})
}

// checkProbes takes late probes a step further, in order of their start.
func (m *Machine) checkProbes() {
	for _, seq := range sortedKeys(m.probes.pending) {
		p := m.probes.pending[seq]
		age := m.now.Sub(p.started)
		if age >= ProbeDeadline {
			delete(m.probes.pending, seq)
			m.probeFailed(p.target.ID)
			continue
		}
		if age >= ProbeTimeout && !p.indirect {
			p.indirect = true
			m.retryProbe(seq, p.target)
		}
	}
	for _, seq := range sortedKeys(m.probes.errands) {
		if m.now.Sub(m.probes.errands[seq].started) >= ProbeDeadline {
			delete(m.probes.errands, seq)
		}
	}
}

// retryProbe repeats a probe directly and through other hosts.
func (m *Machine) retryProbe(seq uint64, target state.Host) {
	known := m.table.get(target.ID)
	if known == nil || known.dead() {
		return
	}
	m.send(target, Probe{Seq: seq, Gossip: m.gossipFor(target)})
	for _, helper := range m.helpers(target) {
		m.send(helper, IndirectProbe{Seq: seq, Target: target, Gossip: m.gossipFor(helper)})
	}
}

// helpers picks live hosts of this domain and of the target's domain. Hosts of
// a third domain would hide that the two domains can't reach each other.
func (m *Machine) helpers(target state.Host) []state.Host {
	near := m.table.filter(func(k *member) bool {
		if k.status != state.HostAlive || k.host.ID == target.ID {
			return false
		}
		return k.host.Domain == m.self.Domain || k.host.Domain == target.Domain
	})
	ids := m.shuffled(near)
	ids = ids[:min(len(ids), IndirectProbes)]
	picked := make([]state.Host, 0, len(ids))
	for _, id := range ids {
		picked = append(picked, m.table.get(id).host)
	}
	return picked
}

// probeFailed raises this host's own suspicion.
func (m *Machine) probeFailed(id state.HostID) {
	known := m.table.get(id)
	if known == nil || known.dead() {
		return
	}
	if known.status == state.HostSuspect {
		m.confirm(known, m.self.ID)
		return
	}
	m.setStatus(known, state.HostSuspect, m.self.ID)
}

func (m *Machine) onProbe(from state.Host, p Probe) {
	m.send(from, Ack{Seq: p.Seq, Gossip: m.gossipFor(from)})
}

func (m *Machine) onAck(from state.Host, a Ack) {
	if e, ok := m.probes.errands[a.Seq]; ok && e.target == from.ID {
		delete(m.probes.errands, a.Seq)
		m.send(e.origin, Ack{Seq: e.originSeq, Subject: e.target, Gossip: m.gossipFor(e.origin)})
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

func (m *Machine) onIndirectProbe(from state.Host, p IndirectProbe) {
	if len(m.probes.errands) >= maxErrands || !p.Target.Control.IsValid() {
		return
	}
	m.probes.seq++
	m.probes.errands[m.probes.seq] = errand{
		origin:    from,
		originSeq: p.Seq,
		target:    p.Target.ID,
		started:   m.now,
	}
	m.send(p.Target, Probe{Seq: m.probes.seq, Gossip: m.gossipFor(p.Target)})
}
