package traffic

import (
	"math/rand/v2"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Engine decides for one share of the flows: those for which Fingerprint.High
// modulo the number of engines is its index. It is not safe for concurrent use.
type Engine struct {
	settings Settings
	random   *rand.Rand
	records  *table
	// refusals is the number of records of refused flows.
	refusals int
	// customers holds what each customer uses.
	customers *customerUsage
	// started is the time of the first call.
	started time.Time
	// now and tick are the time of the current call.
	now  time.Time
	tick tick
	// resumedAt is when the process last resumed after a pause.
	resumedAt tick

	snap *state.Snapshot
	view *viewIndex
	// entriesByNumber holds the snapshot's services.
	entriesByNumber map[state.ServiceNumber]*state.ServiceEntry
	// routeCache holds the routes of services under view, by service number.
	routeCache map[state.ServiceNumber]*serviceRoutes
	// addressHolders holds the last known service of each address, including
	// withdrawn services.
	addressHolders map[state.ServiceAddress]state.ServiceNumber
	// inheritedAddress holds the services whose address was another service's
	// before. A mid-flow packet without a record may belong to a flow of that
	// service, so the fallback does not apply to them.
	inheritedAddress map[state.ServiceNumber]bool
	// addressReused holds the withdrawn targets whose address now belongs to a
	// target of another service.
	addressReused map[state.TargetNumber]bool

	// searches counts the searches started in the tick searchesAt.
	searches   int
	searchesAt tick

	sweepCursor    int
	handOverCursor int
}

// NewEngine returns an engine without records. rng must not be shared.
func NewEngine(s Settings, rng *rand.Rand) *Engine {
	settings := s.withDefaults()
	return &Engine{
		settings:         settings,
		random:           rng,
		records:          newTable(settings.MaxRecords),
		customers:        newCustomerUsage(settings.NewFlowRate),
		entriesByNumber:  make(map[state.ServiceNumber]*state.ServiceEntry),
		routeCache:       make(map[state.ServiceNumber]*serviceRoutes),
		addressHolders:   make(map[state.ServiceAddress]state.ServiceNumber),
		inheritedAddress: make(map[state.ServiceNumber]bool),
	}
}

// Len returns the number of records, including copies and refusals.
func (e *Engine) Len() int { return e.records.count }

// Handle decides about one packet from the fabric or from another host.
func (e *Engine) Handle(now time.Time, snap *state.Snapshot, p *Packet) Decision {
	e.beginCall(now, snap)
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
		return e.forwardByHash(entry, p)
	}
	f := flow{packet: p, routes: e.routes(entry)}
	f.owners = f.routes.owners(p.Fingerprint)
	if f.owners.first == nil {
		return drop(ReasonNoHosts)
	}
	if !p.Relayed {
		return e.handleFromFabric(&f)
	}
	if p.Relay.Kind == relay.KindOpening {
		return e.handleAsSecondOwner(&f)
	}
	return e.handleAsOwner(&f)
}

// flow is a packet being handled, with the routes and owners of its flow.
type flow struct {
	packet *Packet
	routes *serviceRoutes
	owners owners
	// avoid is a target that must not be chosen for the flow; 0 for none.
	avoid state.TargetNumber
}

// beginCall sets the time of the call and applies the snapshot if it is new.
func (e *Engine) beginCall(now time.Time, snap *state.Snapshot) {
	if e.started.IsZero() {
		e.started = now
	}
	e.now = now
	e.tick = tick(now.Sub(e.started) / tickLength)
	if snap != e.snap {
		e.applySnapshot(snap)
	}
}

// checkHeader returns why a relayed packet's header is invalid, or ReasonNone.
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

// handleFromFabric decides about a packet that no other host has handled.
func (e *Engine) handleFromFabric(f *flow) Decision {
	if f.owners.first.self {
		return e.handleAsOwner(f)
	}
	return e.relayTo(f, f.owners.first, 0, ReasonToOwner)
}

// forwardByHash forwards by the newest lookup table, without a record.
func (e *Engine) forwardByHash(entry *state.ServiceEntry, p *Packet) Decision {
	if !e.snap.Ready && alwaysOpens(p.Kind) {
		return drop(ReasonNotReady)
	}
	number := entry.Tables[0].Lookup(p.Fingerprint.Low)
	if number == 0 {
		return drop(ReasonNoTarget)
	}
	return e.forward(entry.Number, number, ReasonNone)
}

// forward forwards the packet to a target if that still belongs to the service.
func (e *Engine) forward(service state.ServiceNumber, number state.TargetNumber, reason Reason) Decision {
	return e.forwardToEntry(service, e.snap.Targets[number], reason)
}

// forwardToEntry forwards the packet to a target, which may be nil, if it
// belongs to the service and its address is not another service's by now.
func (e *Engine) forwardToEntry(service state.ServiceNumber, target *state.TargetEntry, reason Reason) Decision {
	if target == nil || target.Service != service {
		return drop(ReasonUnknownTarget)
	}
	if len(e.addressReused) > 0 && e.addressReused[target.Number] {
		return drop(ReasonAddressReused)
	}
	return Decision{Action: ActionForward, Reason: reason, Target: target}
}

// relayTo relays the packet to the candidate at a position of the search order.
func (e *Engine) relayTo(f *flow, to *ownerCandidate, position int, reason Reason) Decision {
	h := relay.Header{Kind: relay.KindPacket, Position: uint8(position)}
	return e.relayWithHeader(f, to, h, reason)
}

// relayWithHeader relays the packet with a header and fills in the header's hop
// and flow fields.
func (e *Engine) relayWithHeader(f *flow, to *ownerCandidate, h relay.Header, reason Reason) Decision {
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
	return Decision{Action: ActionRelay, Reason: reason, To: to.id, Header: h}
}

// drop returns the decision to discard the packet.
func drop(reason Reason) Decision {
	return Decision{Action: ActionDrop, Reason: reason}
}

// addMessage adds a record message to the decision, unless it already has
// MaxRecordMessages.
func (d *Decision) addMessage(to *ownerCandidate, h relay.Header) {
	if d.MessageCount == MaxRecordMessages {
		return
	}
	d.Messages[d.MessageCount] = RecordMessage{To: to.id, Header: h}
	d.MessageCount++
}

// HandleResume handles the end of a pause of the process, at now. Other hosts
// may have decided about its flows in the meantime, so each record has to
// be confirmed by the flow's other owner.
func (e *Engine) HandleResume(now time.Time, snap *state.Snapshot) {
	e.beginCall(now, snap)
	e.resumedAt = e.tick
}
