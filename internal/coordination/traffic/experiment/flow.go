package experiment

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Behaviour of callers.
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

// segment is one packet of a flow.
type segment struct {
	flow     *Flow
	kind     traffic.PacketKind
	number   int
	size     int
	payload  int
	progress uint64
}

// FlowPlan is what a caller does with a flow.
type FlowPlan struct {
	// Requests is the number of data packets; each waits for its answer.
	Requests int
	// Pause is the time between an answer and the next request.
	Pause time.Duration
}

// Flow is one caller's flow.
type Flow struct {
	sim         *Simulation
	key         state.FlowKey
	fingerprint state.Fingerprint
	service     *state.Service
	plan        FlowPlan
	// target is where the flow was opened; nil before its first answer.
	target *Target
	// pendingPacket is the number of the packet that waits for its answer: 0 the
	// opening, then the requests, then the end.
	pendingPacket     int
	attempts int
	ended     bool
	broken   bool
	reachedTarget     bool
	wasRefused bool
	reachedSecondTarget    bool
}

// OpenFlow starts a flow to a service.
func (b *Simulation) OpenFlow(service *state.Service, plan FlowPlan) *Flow {
	b.lastCaller++
	n := b.lastCaller
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], n/callerPorts)
	caller := netip.AddrFrom4(address)
	f := &Flow{sim: b, service: service, plan: plan}
	f.key = state.FlowKey{
		Protocol: service.Protocol,
		Caller:   netip.AddrPortFrom(caller, uint16(firstPort+n%callerPorts)),
		Service:  service.Address,
	}
	f.fingerprint = f.key.Fingerprint()
	b.flows = append(b.flows, f)
	f.send()
	return f
}

// send sends the packet that is due and schedules its retransmission.
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

// packetKind returns the packetKind of the packet that is due.
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

// timeout returns the time to the next retransmission.
func (f *Flow) timeout() time.Duration {
	first := dataTimeout
	if f.pendingPacket == 0 {
		first = openingTimeout
	}
	return first << (f.attempts - 1)
}

// retransmit repeats a packet that has had no answer.
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

// handleAnswer takes the answer to a packet from a target.
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

// handleRefusal takes a refusal by an entry host.
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

// handleReset takes a RST from a target or an entry host.
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

// markBroken ends an open flow that its caller lost.
func (f *Flow) markBroken() {
	f.broken = true
	f.sim.Counts.Broken++
	f.end()
}

// end ends the flow.
func (f *Flow) end() {
	f.ended = true
	if f.target != nil {
		f.target.openFlows--
	}
}

// sendViaFabric hands a packet to a random entry host.
func (b *Simulation) sendViaFabric(s segment) {
	var sprayed []*Host
	for _, h := range b.hosts {
		if h.inFabric {
			sprayed = append(sprayed, h)
		}
	}
	h := sprayed[b.random.IntN(len(sprayed))]
	b.deliverOverCallerLink(func() {
		b.Counts.Packets++
		h.receive(s, relay.Header{}, "")
	})
}
