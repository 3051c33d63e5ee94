package traffic

import (
	"math/rand/v2"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Engine decides for one share of the flows: those whose Fingerprint.High
// modulo the number of engines selects it. It must not be used concurrently.
type Engine struct {
	settings Settings
	random   *rand.Rand
	records  *table
	// refusals is the number of records that remember a refusal.
	refusals int
	// customers knows what each customer uses.
	customers *customers
	// started is the time of the first call.
	started time.Time
	// now and tick are the time of the current call.
	now  time.Time
	tick tick
	// resumed is when the process last went on after it had stood still.
	resumed tick

	snap *state.Snapshot
	view *viewIndex
	// entries are the snapshot's services by number.
	entries map[state.ServiceNumber]*state.ServiceEntry
	// services caches the routes under view by service number.
	services map[state.ServiceNumber]*serviceRoutes
	// holders are the last known services by address, withdrawn ones included.
	holders map[state.ServiceAddress]state.ServiceNumber
	// inherited holds the services whose address was another service's: packets
	// in mid-flow without a record may be that one's, so none is guessed.
	inherited map[state.ServiceNumber]bool
	// reused holds the withdrawn targets whose address another service has now.
	reused map[state.TargetNumber]bool

	// searches counts the searches begun in the tick searchesAt.
	searches   int
	searchesAt tick

	sweepAt  int
	passOnAt int
}

// NewEngine returns an engine without records. rng must not be shared.
func NewEngine(s Settings, rng *rand.Rand) *Engine {
	settings := s.withDefaults()
	return &Engine{
		settings:  settings,
		random:    rng,
		records:   newTable(settings.MaxRecords),
		customers: newCustomers(settings.NewFlowRate),
		entries:   make(map[state.ServiceNumber]*state.ServiceEntry),
		services:  make(map[state.ServiceNumber]*serviceRoutes),
		holders:   make(map[state.ServiceAddress]state.ServiceNumber),
		inherited: make(map[state.ServiceNumber]bool),
	}
}

// Len returns the number of records held, copies and refusals included.
func (e *Engine) Len() int { return e.records.count }

// Handle decides about one packet from the fabric or from another host.
func (e *Engine) Handle(now time.Time, snap *state.Snapshot, p *Packet) Decision {
	e.begin(now, snap)
	if !snap.Ready && snap.Version == 0 {
		return drop(ReasonNotReady)
	}
	address := state.ServiceAddress{Protocol: p.Key.Protocol, Address: p.Key.Service}
	entry := snap.Services[address]
	if entry == nil {
		return drop(ReasonNoService)
	}
	if reason := checkHeader(p, entry); reason != ReasonNone {
		return drop(reason)
	}
	if entry.Way == state.ForwardByHash {
		return e.byHash(entry, p)
	}
	f := flow{packet: p, routes: e.routes(entry)}
	f.owners = f.routes.owners(p.Fingerprint)
	if f.owners.first == nil {
		return drop(ReasonNoHosts)
	}
	if !p.Relayed {
		return e.fromFabric(&f)
	}
	if p.Relay.Kind == relay.KindOpening {
		return e.asSecond(&f)
	}
	return e.asOwner(&f)
}

// flow is the packet at hand with its routes.
type flow struct {
	packet *Packet
	routes *serviceRoutes
	owners owners
	// avoid is a target that must not have the flow; 0 for none.
	avoid state.TargetNumber
}

// begin sets the time and takes up a new snapshot.
func (e *Engine) begin(now time.Time, snap *state.Snapshot) {
	if e.started.IsZero() {
		e.started = now
	}
	e.now = now
	e.tick = tick(now.Sub(e.started) / tickLength)
	if snap != e.snap {
		e.takeSnapshot(snap)
	}
}

// checkHeader reports why a relayed packet's header is not to be believed.
func checkHeader(p *Packet, entry *state.ServiceEntry) Reason {
	if !p.Relayed {
		return ReasonNone
	}
	h := p.Relay
	if h.Hops > relay.MaxHops {
		return ReasonTooManyHops
	}
	if h.Service != entry.Number || h.Fingerprint != p.Fingerprint {
		return ReasonForeignHeader
	}
	if h.Kind != relay.KindOpening && h.Kind != relay.KindPacket {
		return ReasonForeignHeader
	}
	return ReasonNone
}

// fromFabric decides about a packet that no entry host has seen yet.
func (e *Engine) fromFabric(f *flow) Decision {
	if f.owners.first.self {
		return e.asOwner(f)
	}
	return e.relayTo(f, f.owners.first, 0, ReasonToOwner)
}

// byHash forwards by the newest lookup table alone.
func (e *Engine) byHash(entry *state.ServiceEntry, p *Packet) Decision {
	if !e.snap.Ready && opens(p.Kind) {
		return drop(ReasonNotReady)
	}
	number := entry.Tables[0].Lookup(p.Fingerprint.Low)
	if number == 0 {
		return drop(ReasonNoTarget)
	}
	return e.forward(entry.Number, number, ReasonNone)
}

// forward sends the packet to a target if that still belongs to the service.
func (e *Engine) forward(service state.ServiceNumber, number state.TargetNumber, reason Reason) Decision {
	return e.deliver(service, e.snap.Targets[number], reason)
}

// deliver sends the packet to a target, which may be nil, if it belongs to the
// service and its address has not passed to another one.
func (e *Engine) deliver(service state.ServiceNumber, target *state.TargetEntry, reason Reason) Decision {
	if target == nil || target.Service != service {
		return drop(ReasonUnknownTarget)
	}
	if len(e.reused) > 0 && e.reused[target.Number] {
		return drop(ReasonAddressReused)
	}
	return Decision{Verb: VerbForward, Reason: reason, Target: target}
}

// relayTo passes the packet on to the candidate at a position.
func (e *Engine) relayTo(f *flow, to *hostRoute, position int, reason Reason) Decision {
	h := relay.Header{Kind: relay.KindPacket, Position: uint8(position)}
	return e.relayHeader(f, to, h, reason)
}

// relayHeader passes the packet on with a header whose flow fields it fills in.
func (e *Engine) relayHeader(f *flow, to *hostRoute, h relay.Header, reason Reason) Decision {
	hops := uint8(1)
	if f.packet.Relayed {
		hops = f.packet.Relay.Hops + 1
	}
	if hops > relay.MaxHops {
		return drop(ReasonTooManyHops)
	}
	h.Hops = hops
	h.Service = f.routes.entry.Number
	h.Fingerprint = f.packet.Fingerprint
	return Decision{Verb: VerbRelay, Reason: reason, To: to.id, Header: h}
}

// drop discards the packet.
func drop(reason Reason) Decision {
	return Decision{Verb: VerbDrop, Reason: reason}
}

// notify adds a record message to a decision; beyond MaxNotices it is left out.
func (d *Decision) notify(to *hostRoute, h relay.Header) {
	if d.NoticeCount == MaxNotices {
		return
	}
	d.Notices[d.NoticeCount] = Notice{To: to.id, Header: h}
	d.NoticeCount++
}

// Resumed tells that the process stood still until now: other hosts may have
// decided about flows meanwhile, so the records need the other owner's word.
func (e *Engine) Resumed(now time.Time, snap *state.Snapshot) {
	e.begin(now, snap)
	e.resumed = e.tick
}
