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

// Pace of the walks over records.
const (
	sweepInterval = 100 * time.Millisecond
	sweepBudget   = 2000
)

// Host is an entry host.
type Host struct {
	state.Host
	bed     *Bed
	engine  *traffic.Engine
	snap    *state.Snapshot
	entries map[state.ServiceNumber]*state.ServiceEntry
	members map[state.HostID]state.Member
	epoch   uint32
	version state.ReleaseVersion
	// up is false once the process has ended; sprayed is true while the fabric
	// sends packets here.
	up      bool
	sprayed bool
	leaving bool
}

// StartHost starts an entry host that knows the members given and itself.
func (b *Bed) StartHost(id state.HostID, domain state.DomainID, known []state.Member) *Host {
	h := &Host{
		Host:    state.Host{ID: id, Domain: domain},
		bed:     b,
		engine:  traffic.NewEngine(b.Settings, rand.New(rand.NewPCG(b.random.Uint64(), 1))),
		entries: make(map[state.ServiceNumber]*state.ServiceEntry),
		members: make(map[state.HostID]state.Member),
		up:      true,
		sprayed: true,
	}
	for _, m := range known {
		h.members[m.ID] = m
	}
	h.members[id] = state.Member{Host: h.Host, Run: uint64(b.now) + 1}
	b.hosts = append(b.hosts, h)
	b.byID[id] = h
	h.Install(b.release)
	b.After(sweepInterval, h.sweep)
	return h
}

// Member returns the host as others see it.
func (h *Host) Member() state.Member { return h.members[h.ID] }

// Members returns the host's view.
func (h *Host) Members() []state.Member {
	members := make([]state.Member, 0, len(h.members))
	for _, m := range h.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(x, y state.Member) int { return cmp.Compare(x.ID, y.ID) })
	return members
}

// Engine returns the host's engine.
func (h *Host) Engine() *traffic.Engine { return h.engine }

// Believe changes what the host believes of a member.
func (h *Host) Believe(m state.Member) {
	if m.Status == state.HostDead {
		delete(h.members, m.ID)
	} else {
		h.members[m.ID] = m
	}
	h.epoch++
	h.publish()
}

// Install puts a release in force on this host.
func (h *Host) Install(release state.Release) {
	if release.Version < h.version {
		return
	}
	h.version = release.Version
	for _, service := range release.Services {
		h.entries[service.Number] = lookup.NextEntry(h.entries[service.Number], service, release.Version)
	}
	h.publish()
}

// publish makes a new snapshot.
func (h *Host) publish() {
	snap := &state.Snapshot{
		Self:     h.Host,
		Version:  h.version,
		Services: make(map[state.ServiceAddress]*state.ServiceEntry),
		Targets:  make(map[state.TargetNumber]*state.TargetEntry),
		View:     state.MembershipView{Epoch: h.epoch, Members: h.Members()},
		Ready:    true,
		Leaving:  h.leaving,
	}
	snap.Customers = h.bed.release.Customers
	for _, entry := range h.entries {
		snap.Services[state.ServiceAddress{Protocol: entry.Protocol, Address: entry.Address}] = entry
		for _, target := range entry.TargetEntries {
			snap.Targets[target.Number] = target
		}
	}
	h.snap = snap
}

// sweep walks the records at the usual pace.
func (h *Host) sweep() {
	if !h.up {
		return
	}
	h.notify(h.engine.Sweep(h.bed.time(), h.snap, sweepBudget))
	h.bed.After(sweepInterval, h.sweep)
}

// Kill ends the process at once; the fabric learns it after lag.
func (h *Host) Kill(lag time.Duration) {
	h.up = false
	h.bed.After(lag, func() { h.sprayed = false })
}

// Leave starts a graceful leave: records are handed over, and the process ends
// once that is done and linger has passed. The fabric learns it after lag.
func (h *Host) Leave(lag, linger time.Duration) {
	h.leaving = true
	m := h.members[h.ID]
	m.Status = state.HostLeaving
	h.Believe(m)
	h.bed.After(lag, func() { h.sprayed = false })
	h.bed.After(linger/2, func() { h.handOverRecords(linger / 2) })
}

// handOverRecords hands records over and ends the process afterwards.
func (h *Host) handOverRecords(linger time.Duration) {
	notices, done := h.engine.HandOverRecords(h.bed.time(), h.snap, sweepBudget)
	h.notify(notices)
	if done {
		h.bed.After(linger, func() { h.up = false; h.sprayed = false })
		return
	}
	h.bed.After(sweepInterval, func() { h.handOverRecords(linger) })
}

// receive takes a packet from another host, or from the fabric if from is empty.
func (h *Host) receive(s segment, header relay.Header, from state.HostID) {
	if !h.up {
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
	d := h.engine.Handle(h.bed.time(), h.snap, &p)
	h.bed.Counts.Reasons[d.Reason]++
	h.notify(d.Messages[:d.MessageCount])
	h.act(s, d)
}

// act carries a decision out.
func (h *Host) act(s segment, d traffic.Decision) {
	b := h.bed
	switch d.Action {
	case traffic.ActionForward:
		address := d.Target.Address.String()
		b.between(h.Domain, d.Target.Domain, func() { b.byKey[address].receive(s) })
	case traffic.ActionRelay:
		to := b.byID[d.To]
		b.Counts.Hops++
		if to.Domain != h.Domain {
			b.Counts.BetweenHops++
		}
		b.between(h.Domain, to.Domain, func() { to.receive(s, d.Header, h.ID) })
	case traffic.ActionRefuse:
		b.toCaller(s.flow.refused)
	case traffic.ActionReset:
		b.toCaller(s.flow.reset)
	}
}

// notify sends record messages.
func (h *Host) notify(notices []traffic.RecordMessage) {
	for _, n := range notices {
		h.bed.Counts.Notices++
		to := h.bed.byID[n.To]
		h.bed.between(h.Domain, to.Domain, func() {
			if to.up {
				to.engine.HandleRecord(h.bed.time(), to.snap, n.Header)
			}
		})
	}
}
