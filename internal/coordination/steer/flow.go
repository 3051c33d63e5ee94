package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// openingSize is the room for an opening packet in bytes: it carries no data.
const openingSize = 64

// flow is what the host remembers of a flow.
type flow struct {
	key        state.FlowKey
	idempotent bool
	lastSeen   time.Duration

	opening *opening
	// record is set once the flow is open.
	record *record

	// nextSeq is the end of the data seen, ack the newest acknowledgement.
	nextSeq uint32
	ack     uint32
	// waiting tells that a request was sent and nothing came back since sentAt.
	waiting bool
	sentAt  time.Duration
	// repeats counts how often the client sent the request's data again.
	repeats    int
	lastRepeat time.Duration
}

// opening is an opening that no target has answered yet, as far as seen.
type opening struct {
	seq   uint32
	pool  *catalog.Pool
	raw   [openingSize]byte
	size  int
	began time.Duration
	// tried are the targets that it was offered to, the newest last; offeredAt is
	// when the newest was.
	tried     []*record
	offeredAt time.Duration
	due       time.Duration
}

// after compares sequence numbers that wrap around.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// took notes a packet of an open flow and tells what it proves about the target.
func (f *flow) took(now time.Duration, p *Packet) (answered bool) {
	f.lastSeen = now
	if after(p.Ack, f.ack) {
		f.ack = p.Ack
		answered = true
		f.settle()
	}
	if p.Length == 0 {
		return answered
	}
	end := p.Seq + uint32(p.Length)
	if after(end, f.nextSeq) {
		f.nextSeq = end
		f.startWaiting(now)
		return answered
	}
	f.noteRepeat(now)
	return answered
}

// startWaiting begins the wait for the answer to new data.
func (f *flow) startWaiting(now time.Duration) {
	if !f.waiting {
		f.waiting = true
		f.record.waiting++
	}
	f.sentAt = now
	f.lastRepeat = now
	f.repeats = 0
}

// settle ends the wait: something came back.
func (f *flow) settle() {
	if f.waiting {
		f.waiting = false
		f.record.waiting--
	}
	f.repeats = 0
}

// noteRepeat counts a repeat of data, unless it arrives so soon after the last
// that both were held up on the way.
func (f *flow) noteRepeat(now time.Duration) {
	if now-f.lastRepeat < repeatSpacing {
		return
	}
	f.repeats++
	f.lastRepeat = now
}

// silent tells that the flow's target has fallen silent towards everybody, so
// that a new try serves the client better than waiting.
func (f *flow) silent(now time.Duration) bool {
	if !f.waiting || f.repeats == 0 || !f.idempotent {
		return false
	}
	if now-f.record.lastAnswer < silentAfter {
		return false
	}
	return f.repeats >= silentRepeats || f.record.suspect || f.record.domain.suspect
}
