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
	// hurried flows have a latency objective that leaves no time to wait for repeated
	// data before they are reset.
	hurried  bool
	lastSeen time.Duration

	pending *pendingSYN
	// record is set once the flow is open; openSeq is the sequence number of its
	// opening, if that was seen here.
	record *record
	synSeq uint32

	// nextSeq is the end of the data seen, ack the newest acknowledgement.
	nextSeq uint32
	ack     uint32
	// waiting tells that a request was sent and nothing came back since.
	waiting bool
	// repeats counts how often the client repeated itself since something came
	// back; lastRepeat is when it did so last, or sent the request.
	repeats    int
	lastRepeat time.Duration
}

// newFlow returns a flow of a route.
func newFlow(now time.Duration, key state.FlowKey, route *catalog.RouteEntry) *flow {
	return &flow{key: key, idempotent: route.Idempotent, hurried: route.Objective < patientObjective, lastSeen: now}
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
	tried         []*record
	lastAttemptAt time.Duration
	deadline      time.Duration
}

// after compares sequence numbers that wrap around.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// progress is what a packet of an open flow says about its target.
type progress uint8

const (
	// progressNone says nothing.
	progressNone progress = iota
	// progressAnswered says that the target has sent something new.
	progressAnswered
	// progressRepeated says that the client had to repeat its data.
	progressRepeated
	// progressTargetRepeats says that the target repeated what the client has
	// acknowledged: it lives, and may be beyond a cut.
	progressTargetRepeats
)

// took notes a packet of an open flow.
func (f *flow) took(now time.Duration, p *Packet) progress {
	quiet := now - f.lastSeen
	f.lastSeen = now
	if p.Length > 0 && after(p.Seq+uint32(p.Length), f.nextSeq) {
		return f.tookRequest(now, p)
	}
	if after(p.Ack, f.ack) {
		f.ack = p.Ack
		f.settle()
		return progressAnswered
	}
	if p.Length > 0 {
		return f.tookRepeat(now)
	}
	if f.waiting {
		// The client acknowledges again what it had: the answer has begun to
		// arrive, with its first packet missing or late.
		f.settle()
		return progressAnswered
	}
	if quiet >= repeatSpacing && f.tookRepeat(now) == progressRepeated {
		return progressTargetRepeats
	}
	return progressNone
}

// tookRequest notes new data. What it acknowledges besides may be old.
func (f *flow) tookRequest(now time.Duration, p *Packet) progress {
	result := progressNone
	if after(p.Ack, f.ack) {
		f.ack = p.Ack
		result = progressAnswered
	}
	f.nextSeq = p.Seq + uint32(p.Length)
	if !f.waiting {
		f.waiting = true
		f.record.waiting++
		f.record.all.waiting++
	}
	f.lastRepeat = now
	f.repeats = 0
	return result
}

// tookRepeat counts a repeat, unless it comes so soon after the last that both
// were held up on the way.
func (f *flow) tookRepeat(now time.Duration) progress {
	if now-f.lastRepeat < repeatSpacing {
		return progressNone
	}
	f.lastRepeat = now
	f.repeats++
	return progressRepeated
}

// settle ends the wait: something came back.
func (f *flow) settle() {
	if f.waiting {
		f.waiting = false
		f.record.waiting--
		f.record.all.waiting--
	}
	f.repeats = 0
}

// hopeless tells that the flow waits for a target that is gone, so that a new
// try serves the client better. Only requests that may be tried again are worth
// it: of others the target may have run one before it went.
func (f *flow) hopeless(now time.Duration) bool {
	if f.pending != nil || !f.idempotent {
		return false
	}
	return (f.waiting || f.repeats > 0) && f.targetGone(now)
}

// targetGone tells that the flow's target is gone, by as much proof as there is time
// for.
func (f *flow) targetGone(now time.Duration) bool {
	if f.hurried {
		return f.record.seemsGone(now)
	}
	return f.record.gone(now)
}
