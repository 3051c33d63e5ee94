package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/shed"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// maxBareSize is the buffer size for a packet without data, such as a SYN, in bytes.
const maxBareSize = 64

// flow is the state that the host keeps of one flow.
type flow struct {
	key        state.FlowKey
	idempotent bool
	// tightObjective is set if the latency objective leaves no time to wait for a
	// retransmission of data before the flow is reset.
	tightObjective bool
	lastSeen       time.Duration

	// pending is set until the flow is open.
	pending *pendingSYN
	// target is set once the flow is open; synSeq is the sequence number of its SYN if
	// that passed through this host.
	target *targetRecord
	synSeq uint32
	// openSince is when this host first saw the flow open.
	openSince time.Duration
	// resetBefore is set if this host has reset the flow already and its client goes on.
	resetBefore bool

	// nextSeq is the end of the data seen, ack the latest acknowledgement.
	nextSeq uint32
	ack     uint32
	// waiting is set from a request until the target's next answer.
	waiting bool
	// retransmissions counts the client's retransmissions since the target's last answer;
	// lastTransmission is when the request or its last retransmission was seen.
	retransmissions  int
	lastTransmission time.Duration
	// limiter counts the flow as in flight, nil if it does not.
	limiter *shed.Limiter
	// placedHere is set if this host placed the flow, onlyPlacedHere if no other one can have
	// forwarded a copy of its SYN. requests is the number of requests seen on it. countedNew
	// is set while the limiter counts it as a new flow.
	placedHere     bool
	onlyPlacedHere bool
	requests       int
	countedNew     bool
	// requestAt is when the request that the flow waits for was first seen.
	requestAt time.Duration
	// requestAck is the acknowledgement number before the answer to that request, answerSize
	// the number of its bytes in the first packet that acknowledges any, 0 if it is not known.
	requestAck uint32
	answerSize uint32
	// barePacket holds the bareSize bytes of the client's latest packet without data.
	barePacket [maxBareSize]byte
	bareSize   int
	// objective and priority are those of the route.
	objective time.Duration
	priority  int
}

func newFlow(now time.Duration, key state.FlowKey, route *catalog.RouteEntry) *flow {
	return &flow{
		key:            key,
		idempotent:     route.Idempotent,
		objective:      route.LatencyObjective,
		priority:       route.Priority,
		tightObjective: route.LatencyObjective < relaxedObjective,
		lastSeen:       now,
	}
}

// pendingSYN is a SYN that no target is known to have answered.
type pendingSYN struct {
	seq       uint32
	pool      *catalog.Pool
	raw       [maxBareSize]byte
	size      int
	startedAt time.Duration
	// copied is set if a copy of the SYN was seen here, first or later: another host may have
	// forwarded one, too.
	copied bool
	// stalled is set if the latest retry found no target.
	stalled bool
	// tried are the targets that the SYN was forwarded to, the latest last; lastAttemptAt
	// is when it was forwarded to the latest.
	tried         []*targetRecord
	lastAttemptAt time.Duration
	// deadline is when the latest attempt times out.
	deadline time.Duration
}

// seqAfter reports whether sequence number a follows b, with wrap-around.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// flowSignal is what a packet of an open flow indicates about its target.
type flowSignal uint8

const (
	// signalNone indicates nothing.
	signalNone flowSignal = iota
	// signalAnswered indicates that the target has sent new data.
	signalAnswered
	// signalRetransmitted indicates that the client retransmitted its data.
	signalRetransmitted
	// signalTargetRetransmitted indicates that the target retransmitted data that the
	// client has acknowledged: it is alive but may be behind a network partition.
	signalTargetRetransmitted
)

// observe updates an open flow with a packet from its client.
func (f *flow) observe(now time.Duration, p *Packet) flowSignal {
	sinceLast := now - f.lastSeen
	f.lastSeen = now
	if p.Length == 0 {
		f.bareSize = copy(f.barePacket[:], p.Raw)
	}
	if p.Length > 0 && seqAfter(p.Seq+uint32(p.Length), f.nextSeq) {
		return f.observeData(now, p)
	}
	if seqAfter(p.Ack, f.ack) {
		f.recordAck(p.Ack)
		f.clearWaiting()
		return signalAnswered
	}
	if p.Length > 0 {
		return f.observeRetransmission(now)
	}
	if f.waiting {
		// A duplicate acknowledgement: the answer has begun to arrive, with its first
		// packet lost or late.
		f.answerSize = 0
		f.clearWaiting()
		return signalAnswered
	}
	if sinceLast >= minRetransmitSpacing && f.observeRetransmission(now) == signalRetransmitted {
		return signalTargetRetransmitted
	}
	return signalNone
}

// isNew reports whether this host placed the flow and its first request is not answered.
func (f *flow) isNew() bool { return f.pending != nil || f.placedHere && f.requests == 1 }

// recordAck records a new acknowledgement number.
func (f *flow) recordAck(ack uint32) {
	f.ack = ack
	f.answerSize = ack - f.requestAck
}

// observeData records new data. The acknowledgement in the same packet may be old.
func (f *flow) observeData(now time.Duration, p *Packet) flowSignal {
	result := signalNone
	if seqAfter(p.Ack, f.ack) {
		f.recordAck(p.Ack)
		result = signalAnswered
	}
	f.nextSeq = p.Seq + uint32(p.Length)
	if !f.waiting {
		f.waiting = true
		f.requestAt = now
		f.requestAck = f.ack
		f.requests++
		f.enterLimiter(f.target.limiter)
		f.target.waiting++
		f.target.totalLoad.waiting++
	}
	f.lastTransmission = now
	f.retransmissions = 0
	return result
}

// observeRetransmission counts a retransmission unless it follows the last one so
// closely that both were held up on the way.
func (f *flow) observeRetransmission(now time.Duration) flowSignal {
	if now-f.lastTransmission < minRetransmitSpacing {
		return signalNone
	}
	f.lastTransmission = now
	f.retransmissions++
	return signalRetransmitted
}

// clearWaiting ends the wait for an answer: the target has sent something.
func (f *flow) clearWaiting() {
	f.leaveLimiter()
	if f.waiting {
		f.waiting = false
		f.target.waiting--
		f.target.totalLoad.waiting--
	}
	f.retransmissions = 0
}

// shouldReset reports whether the flow awaits an answer from a target that is down, so
// that a new connection serves the client better. Only idempotent requests qualify: the
// target may have executed any other request before it went down. targetsReadAt is when the
// newest answered read of the targets was requested.
func (f *flow) shouldReset(now, targetsReadAt time.Duration) bool {
	if f.pending != nil || !f.idempotent {
		return false
	}
	return (f.waiting || f.retransmissions > 0) && f.targetDown(now, targetsReadAt)
}

// targetDown reports whether the flow's target is down, by the strongest evidence that
// the flow's latency objective leaves time to wait for.
func (f *flow) targetDown(now, targetsReadAt time.Duration) bool {
	if !f.concerned(targetsReadAt) {
		return false
	}
	if f.tightObjective {
		return f.target.likelyDown(now)
	}
	return f.target.confirmedDown(now)
}

// concerned reports whether the latest failed check of the target is about the start of the
// target that holds the flow. A target may start again under its ID, at another address, and
// other hosts may have opened flows there by an entry that this host has not read. A flow that
// only this host can have placed is at the address that it checks.
func (f *flow) concerned(targetsReadAt time.Duration) bool {
	if f.target.lastFailure < f.openSince {
		return false
	}
	return f.onlyPlacedHere || f.resetBefore || targetsReadAt > f.openSince
}
