package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// maxSYNSize is the room for an opening packet in bytes: it carries no data.
const maxSYNSize = 64

// flow is what the host remembers of a flow.
type flow struct {
	key        state.FlowKey
	idempotent bool
	// tightObjective flows have a latency objective that leaves no time to wait for repeated
	// data before they are reset.
	tightObjective bool
	lastSeen       time.Duration

	pending *pendingSYN
	// target is set once the flow is open; openSeq is the sequence number of its
	// opening, if that was seen here.
	target *targetRecord
	synSeq uint32

	// nextSeq is the end of the data seen, ack the newest acknowledgement.
	nextSeq uint32
	ack     uint32
	// waiting tells that a request was sent and nothing came back since.
	waiting bool
	// retransmissions counts how often the client repeated itself since something came
	// back; lastRepeat is when it did so last, or sent the request.
	retransmissions  int
	lastTransmission time.Duration
}

// newFlow returns a flow of a route.
func newFlow(now time.Duration, key state.FlowKey, route *catalog.RouteEntry) *flow {
	return &flow{key: key, idempotent: route.Idempotent, tightObjective: route.Objective < relaxedObjective, lastSeen: now}
}

// pendingSYN is an pendingSYN that no target has answered yet, as far as seen.
type pendingSYN struct {
	seq       uint32
	pool      *catalog.Pool
	raw       [maxSYNSize]byte
	size      int
	startedAt time.Duration
	// tried are the targets that it was offered to, the newest last; offeredAt is
	// when the newest was.
	tried         []*targetRecord
	lastAttemptAt time.Duration
	deadline      time.Duration
}

// seqAfter compares sequence numbers that wrap around.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// flowSignal is what a packet of an open flow says about its target.
type flowSignal uint8

const (
	// signalNone says nothing.
	signalNone flowSignal = iota
	// signalAnswered says that the target has sent something new.
	signalAnswered
	// signalRetransmitted says that the client had to repeat its data.
	signalRetransmitted
	// signalTargetRetransmitted says that the target repeated what the client has
	// acknowledged: it lives, and may be beyond a cut.
	signalTargetRetransmitted
)

// observe notes a packet of an open flow.
func (f *flow) observe(now time.Duration, p *Packet) flowSignal {
	quiet := now - f.lastSeen
	f.lastSeen = now
	if p.Length > 0 && seqAfter(p.Seq+uint32(p.Length), f.nextSeq) {
		return f.observeData(now, p)
	}
	if seqAfter(p.Ack, f.ack) {
		f.ack = p.Ack
		f.clearWaiting()
		return signalAnswered
	}
	if p.Length > 0 {
		return f.observeRetransmission(now)
	}
	if f.waiting {
		// The client acknowledges again what it had: the answer has begun to
		// arrive, with its first packet missing or late.
		f.clearWaiting()
		return signalAnswered
	}
	if quiet >= minRetransmitSpacing && f.observeRetransmission(now) == signalRetransmitted {
		return signalTargetRetransmitted
	}
	return signalNone
}

// observeData notes new data. What it acknowledges besides may be old.
func (f *flow) observeData(now time.Duration, p *Packet) flowSignal {
	result := signalNone
	if seqAfter(p.Ack, f.ack) {
		f.ack = p.Ack
		result = signalAnswered
	}
	f.nextSeq = p.Seq + uint32(p.Length)
	if !f.waiting {
		f.waiting = true
		f.target.waiting++
		f.target.totalLoad.waiting++
	}
	f.lastTransmission = now
	f.retransmissions = 0
	return result
}

// observeRetransmission counts a repeat, unless it comes so soon after the last that both
// were held up on the way.
func (f *flow) observeRetransmission(now time.Duration) flowSignal {
	if now-f.lastTransmission < minRetransmitSpacing {
		return signalNone
	}
	f.lastTransmission = now
	f.retransmissions++
	return signalRetransmitted
}

// clearWaiting ends the wait: something came back.
func (f *flow) clearWaiting() {
	if f.waiting {
		f.waiting = false
		f.target.waiting--
		f.target.totalLoad.waiting--
	}
	f.retransmissions = 0
}

// shouldReset tells that the flow waits for a target that is gone, so that a new
// try serves the client better. Only requests that may be tried again are worth
// it: of others the target may have run one before it went.
func (f *flow) shouldReset(now time.Duration) bool {
	if f.pending != nil || !f.idempotent {
		return false
	}
	return (f.waiting || f.retransmissions > 0) && f.targetDown(now)
}

// targetDown tells that the flow's target is gone, by as much proof as there is time
// for.
func (f *flow) targetDown(now time.Duration) bool {
	if f.tightObjective {
		return f.target.likelyDown(now)
	}
	return f.target.confirmedDown(now)
}
