package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/lookup"
)

// Interval of record sweeps, and records per sweep.
const (
	sweepInterval = 100 * time.Millisecond
	sweepBudget   = 2000
)

// Host is a simulated entry host.
type Host struct {
	state.Host
	sim      *Simulation
	engine   *traffic.Engine
	snapshot *state.Snapshot
	entries  map[state.ServiceNumber]*state.ServiceEntry
	members  map[state.HostID]state.Member
	epoch    uint32
	version  state.ReleaseVersion
	// running is false once the process has ended; inFabric is true while the
	// fabric routes packets to the host.
	running  bool
	inFabric bool
	leaving  bool
}

// StartHost starts an entry host whose membership view is known and itself.
func (sim *Simulation) StartHost(id state.HostID, domain state.DomainID, known []state.Member) *Host {
	h := &Host{
		Host:     state.Host{ID: id, Domain: domain},
		sim:      sim,
		engine:   traffic.NewEngine(sim.Settings, rand.New(rand.NewPCG(sim.random.Uint64(), 1))),
		entries:  make(map[state.ServiceNumber]*state.ServiceEntry),
		members:  make(map[state.HostID]state.Member),
		running:  true,
		inFabric: true,
	}
	for _, m := range known {
		h.members[m.ID] = m
	}
	h.members[id] = state.Member{Host: h.Host, Run: uint64(sim.now) + 1}
	sim.hosts = append(sim.hosts, h)
	sim.hostsByID[id] = h
	h.ApplyRelease(sim.release)
	sim.AfterFunc(sweepInterval, h.sweep)
	return h
}

// Member returns the host's entry in its own membership view.
func (h *Host) Member() state.Member { return h.members[h.ID] }

// Members returns the host's membership view, sorted by id.
func (h *Host) Members() []state.Member {
	members := make([]state.Member, 0, len(h.members))
	for _, m := range h.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(x, y state.Member) int { return cmp.Compare(x.ID, y.ID) })
	return members
}

// Engine returns the host's traffic engine.
func (h *Host) Engine() *traffic.Engine { return h.engine }

// SetMember updates a member in the host's membership view; a dead one is removed.
func (h *Host) SetMember(m state.Member) {
	if m.Status == state.HostDead {
		delete(h.members, m.ID)
	} else {
		h.members[m.ID] = m
	}
	h.epoch++
	h.publish()
}

// ApplyRelease puts a release in force on this host, unless a newer one is.
func (h *Host) ApplyRelease(release state.Release) {
	if release.Version < h.version {
		return
	}
	h.version = release.Version
	for _, service := range release.Services {
		h.entries[service.Number] = lookup.NextEntry(h.entries[service.Number], service, release.Version)
	}
	h.publish()
}

// publish replaces the snapshot by one of the current release and view.
func (h *Host) publish() {
	snapshot := &state.Snapshot{
		Self:     h.Host,
		Version:  h.version,
		Services: make(map[state.ServiceAddress]*state.ServiceEntry),
		Targets:  make(map[state.TargetNumber]*state.TargetEntry),
		View:     state.MembershipView{Epoch: h.epoch, Members: h.Members()},
		Ready:    true,
		Leaving:  h.leaving,
	}
	snapshot.Customers = h.sim.release.Customers
	for _, entry := range h.entries {
		snapshot.Services[state.ServiceAddress{Protocol: entry.Protocol, Address: entry.Address}] = entry
		for _, target := range entry.TargetEntries {
			snapshot.Targets[target.Number] = target
		}
	}
	h.snapshot = snapshot
}

// sweep sweeps up to sweepBudget records every sweepInterval while the host runs.
func (h *Host) sweep() {
	if !h.running {
		return
	}
	h.sendRecordMessages(h.engine.Sweep(h.sim.virtualTime(), h.snapshot, sweepBudget))
	h.sim.AfterFunc(sweepInterval, h.sweep)
}

// Kill ends the process at once; the fabric stops routing to
// the host after lag.
func (h *Host) Kill(lag time.Duration) {
	h.running = false
	h.sim.AfterFunc(lag, func() { h.inFabric = false })
}

// Leave starts a graceful leave. After half of linger the host begins to hand its
// records over; the process ends the other half after that is complete. The fabric
// stops routing to the host after lag.
func (h *Host) Leave(lag, linger time.Duration) {
	h.leaving = true
	m := h.members[h.ID]
	m.Status = state.HostLeaving
	h.SetMember(m)
	h.sim.AfterFunc(lag, func() { h.inFabric = false })
	h.sim.AfterFunc(linger/2, func() { h.handOver(linger / 2) })
}

// handOver hands the records over to other hosts, sweepBudget at a time, and ends
// the process linger after the last.
func (h *Host) handOver(linger time.Duration) {
	notices, done := h.engine.HandOverRecords(h.sim.virtualTime(), h.snapshot, sweepBudget)
	h.sendRecordMessages(notices)
	if done {
		h.sim.AfterFunc(linger, func() { h.running = false; h.inFabric = false })
		return
	}
	h.sim.AfterFunc(sweepInterval, func() { h.handOver(linger) })
}

// receive handles a packet from another host, or from the fabric if from is empty.
func (h *Host) receive(s segment, header relay.Header, from state.HostID) {
	if !h.running {
		return
	}
	p := traffic.Packet{
		Key:         s.flow.key,
		Fingerprint: s.flow.fingerprint,
		Kind:        s.kind,
		Size:        s.size,
		PayloadSize: s.payload,
		Progress:    s.progress,
		Relayed:     from != "",
		From:        from,
		Relay:       header,
	}
	d := h.engine.Handle(h.sim.virtualTime(), h.snapshot, &p)
	h.sim.Counts.Reasons[d.Reason]++
	h.sendRecordMessages(d.Messages[:d.MessageCount])
	h.executeDecision(s, d)
}

// executeDecision carries out the engine's decision on a packet.
func (h *Host) executeDecision(s segment, d traffic.Decision) {
	sim := h.sim
	switch d.Action {
	case traffic.ActionForward:
		address := d.Target.Address.String()
		sim.deliver(h.Domain, d.Target.Domain, func() { sim.targetsByAddress[address].receive(s) })
	case traffic.ActionRelay:
		to := sim.hostsByID[d.To]
		sim.Counts.Hops++
		if to.Domain != h.Domain {
			sim.Counts.InterDomainHops++
		}
		sim.deliver(h.Domain, to.Domain, func() { to.receive(s, d.Header, h.ID) })
	case traffic.ActionRefuse:
		sim.deliverOverCallerLink(s.flow.handleRefusal)
	case traffic.ActionReset:
		sim.deliverOverCallerLink(s.flow.handleReset)
	}
}

// sendRecordMessages sends messages about flow records to other hosts.
func (h *Host) sendRecordMessages(notices []traffic.RecordMessage) {
	for _, n := range notices {
		h.sim.Counts.RecordMessages++
		to := h.sim.hostsByID[n.To]
		h.sim.deliver(h.Domain, to.Domain, func() {
			if to.running {
				to.engine.HandleRecord(h.sim.virtualTime(), to.snapshot, n.Header)
			}
		})
	}
}
