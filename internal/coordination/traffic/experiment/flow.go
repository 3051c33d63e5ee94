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

// Plan is what a caller does with a flow.
type Plan struct {
	// Requests is the number of data packets; each waits for its answer.
	Requests int
	// Pause is the time between an answer and the next request.
	Pause time.Duration
}

// Flow is one caller's flow.
type Flow struct {
	bed         *Bed
	key         state.FlowKey
	fingerprint state.Fingerprint
	service     *state.Service
	plan        Plan
	// target is where the flow was opened; nil before its first answer.
	target *Target
	// next is the number of the packet that waits for its answer: 0 the
	// opening, then the requests, then the end.
	next     int
	attempts int
	over     bool
	broken   bool
	seen     bool
	rejected bool
	stray    bool
}

// Open starts a flow to a service.
func (b *Bed) Open(service *state.Service, plan Plan) *Flow {
	b.callers++
	n := b.callers
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], n/callerPorts)
	caller := netip.AddrFrom4(address)
	f := &Flow{bed: b, service: service, plan: plan}
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
	s := segment{flow: f, kind: f.kind(), number: f.next, size: openingSize, progress: uint64(f.next)}
	if f.next > 0 && f.next <= f.plan.Requests {
		s.size = dataSize
		s.payload = dataPayload
	}
	f.bed.spray(s)
	f.attempts++
	number := f.next
	f.bed.After(f.timeout(), func() { f.retransmit(number) })
}

// kind returns the kind of the packet that is due.
func (f *Flow) kind() traffic.PacketKind {
	switch {
	case f.key.Protocol == state.UDP:
		return traffic.KindDatagram
	case f.next == 0:
		return traffic.KindSYN
	case f.next > f.plan.Requests:
		return traffic.KindFIN
	default:
		return traffic.KindData
	}
}

// timeout returns the time to the next retransmission.
func (f *Flow) timeout() time.Duration {
	first := dataTimeout
	if f.next == 0 {
		first = openingTimeout
	}
	return first << (f.attempts - 1)
}

// retransmit repeats a packet that has had no answer.
func (f *Flow) retransmit(number int) {
	if f.over || f.next != number {
		return
	}
	if f.attempts < maxAttempts {
		f.send()
		return
	}
	if f.next == 0 {
		f.end()
		f.bed.Counts.Unanswered++
		return
	}
	f.fail()
}

// answered takes the answer to a packet from a target.
func (f *Flow) answered(number int, from *Target) {
	if f.over || number != f.next {
		return
	}
	if f.target == nil {
		f.target = from
		from.open++
		f.bed.Counts.Opened++
	}
	f.next++
	f.attempts = 0
	if f.next > f.plan.Requests+1 {
		f.end()
		f.bed.Counts.Finished++
		return
	}
	pause := f.plan.Pause
	if number == 0 {
		pause = 0
	}
	due := f.next
	f.bed.After(f.bed.jittered(pause), func() {
		if !f.over && f.next == due && f.attempts == 0 {
			f.send()
		}
	})
}

// refused takes a refusal by an entry host.
func (f *Flow) refused() {
	if f.over {
		return
	}
	if f.target != nil {
		f.fail()
		return
	}
	f.end()
	f.rejected = true
	f.bed.Counts.Refused++
	if f.seen {
		f.bed.Counts.RefusedSeen++
	}
}

// reset takes a RST from a target or an entry host.
func (f *Flow) reset() {
	if f.over {
		return
	}
	if f.target == nil {
		f.end()
		f.bed.Counts.Unanswered++
		return
	}
	f.fail()
}

// fail ends an open flow that its caller lost.
func (f *Flow) fail() {
	f.broken = true
	f.bed.Counts.Broken++
	f.end()
}

// end ends the flow.
func (f *Flow) end() {
	f.over = true
	if f.target != nil {
		f.target.open--
	}
}

// spray hands a packet to a random entry host.
func (b *Bed) spray(s segment) {
	var sprayed []*Host
	for _, h := range b.hosts {
		if h.sprayed {
			sprayed = append(sprayed, h)
		}
	}
	h := sprayed[b.random.IntN(len(sprayed))]
	b.toCaller(func() {
		b.Counts.Packets++
		h.receive(s, relay.Header{}, "")
	})
}
