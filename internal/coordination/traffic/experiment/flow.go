package experiment

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Timeouts, packet sizes in bytes and source ports of callers.
const (
	openingTimeout = time.Second
	dataTimeout    = 300 * time.Millisecond
	maxAttempts    = 7
	openingSize    = 60
	dataSize       = 400
	dataPayload    = 340
	firstPort      = 1024
	callerPorts    = 64
)

// segment is a packet of a flow. Its number is that of Flow.pendingPacket when it was
// sent; sizes are in bytes.
type segment struct {
	flow     *Flow
	kind     traffic.PacketKind
	number   int
	size     int
	payload  int
	progress uint64
}

// FlowPlan describes the traffic that a caller sends in a flow.
type FlowPlan struct {
	// Requests is the number of data packets; each is sent after
	// the answer to the one before.
	Requests int
	// Pause is the time between an answer and the next request.
	Pause time.Duration
}

// Flow is a flow with the state that its caller keeps.
type Flow struct {
	sim         *Simulation
	key         state.FlowKey
	fingerprint state.Fingerprint
	service     *state.Service
	plan        FlowPlan
	// target is the target that answered the opening; nil before that.
	target *Target
	// pendingPacket is the number of the unanswered packet: 0 is the opening,
	// 1 to plan.Requests are the requests, and the last one ends the flow.
	pendingPacket       int
	attempts            int
	ended               bool
	broken              bool
	reachedTarget       bool
	wasRefused          bool
	reachedSecondTarget bool
}

// OpenFlow opens a flow to a service from a new caller address and port.
func (sim *Simulation) OpenFlow(service *state.Service, plan FlowPlan) *Flow {
	sim.lastCaller++
	n := sim.lastCaller
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], n/callerPorts)
	caller := netip.AddrFrom4(address)
	f := &Flow{sim: sim, service: service, plan: plan}
	f.key = state.FlowKey{
		Protocol: service.Protocol,
		Caller:   netip.AddrPortFrom(caller, uint16(firstPort+n%callerPorts)),
		Service:  service.Address,
	}
	f.fingerprint = f.key.Fingerprint()
	sim.flows = append(sim.flows, f)
	f.send()
	return f
}

// send sends the pending packet and schedules its retransmission.
func (f *Flow) send() {
	s := segment{flow: f, kind: f.packetKind(), number: f.pendingPacket, size: openingSize, progress: uint64(f.pendingPacket)}
	if f.pendingPacket > 0 && f.pendingPacket <= f.plan.Requests {
		s.size = dataSize
		s.payload = dataPayload
	}
	f.sim.sendViaFabric(s)
	f.attempts++
	number := f.pendingPacket
	f.sim.AfterFunc(f.timeout(), func() { f.retransmit(number) })
}

// packetKind returns the kind of the pending packet.
func (f *Flow) packetKind() traffic.PacketKind {
	switch {
	case f.key.Protocol == state.UDP:
		return traffic.KindDatagram
	case f.pendingPacket == 0:
		return traffic.KindSYN
	case f.pendingPacket > f.plan.Requests:
		return traffic.KindFIN
	default:
		return traffic.KindData
	}
}

// timeout returns the time to the next retransmission; it doubles per attempt.
func (f *Flow) timeout() time.Duration {
	first := dataTimeout
	if f.pendingPacket == 0 {
		first = openingTimeout
	}
	return first << (f.attempts - 1)
}

// retransmit sends an unanswered packet again, at most maxAttempts times in all.
// After that the flow counts as unanswered if it was being opened, else as broken.
func (f *Flow) retransmit(number int) {
	if f.ended || f.pendingPacket != number {
		return
	}
	if f.attempts < maxAttempts {
		f.send()
		return
	}
	if f.pendingPacket == 0 {
		f.end()
		f.sim.Counts.Unanswered++
		return
	}
	f.markBroken()
}

// handleAnswer processes a target's answer to a packet and schedules the next one.
func (f *Flow) handleAnswer(number int, from *Target) {
	if f.ended || number != f.pendingPacket {
		return
	}
	if f.target == nil {
		f.target = from
		from.openFlows++
		f.sim.Counts.Opened++
	}
	f.pendingPacket++
	f.attempts = 0
	if f.pendingPacket > f.plan.Requests+1 {
		f.end()
		f.sim.Counts.Finished++
		return
	}
	pause := f.plan.Pause
	if number == 0 {
		pause = 0
	}
	due := f.pendingPacket
	f.sim.AfterFunc(f.sim.jittered(pause), func() {
		if !f.ended && f.pendingPacket == due && f.attempts == 0 {
			f.send()
		}
	})
}

// handleRefusal processes the refusal of an opening by an entry host. A refusal
// that reaches an open flow breaks it.
func (f *Flow) handleRefusal() {
	if f.ended {
		return
	}
	if f.target != nil {
		f.markBroken()
		return
	}
	f.end()
	f.wasRefused = true
	f.sim.Counts.Refused++
	if f.reachedTarget {
		f.sim.Counts.RefusedAtTarget++
	}
}

// handleReset processes a RST from a target or an entry host.
func (f *Flow) handleReset() {
	if f.ended {
		return
	}
	if f.target == nil {
		f.end()
		f.sim.Counts.Unanswered++
		return
	}
	f.markBroken()
}

// markBroken ends an open flow and counts it as broken.
func (f *Flow) markBroken() {
	f.broken = true
	f.sim.Counts.Broken++
	f.end()
}

// end ends the flow; its target no longer counts it as open.
func (f *Flow) end() {
	f.ended = true
	if f.target != nil {
		f.target.openFlows--
	}
}

// sendViaFabric sends a packet to a random entry host among those that the fabric
// routes to.
func (sim *Simulation) sendViaFabric(s segment) {
	var candidates []*Host
	for _, h := range sim.hosts {
		if h.inFabric {
			candidates = append(candidates, h)
		}
	}
	h := candidates[sim.random.IntN(len(candidates))]
	sim.deliverOverCallerLink(func() {
		sim.Counts.Packets++
		h.receive(s, relay.Header{}, "")
	})
}
