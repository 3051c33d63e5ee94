package callers

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/stream"
	"github.com/guavawharf/guavawharf/internal/standin/wire"
	"github.com/guavawharf/guavawharf/internal/state"
)

// tcpFlow is a TCP connection of a caller, opened again when refused.
type tcpFlow struct {
	course
	conn *stream.Conn
}

func newTCPFlow(w *worker, group *Group, t *tally, now time.Time) *tcpFlow {
	f := &tcpFlow{course: newCourse(w, group, t, now)}
	f.caller = w.newAddress(group.Service.Addr())
	f.dial(now)
	return f
}

func (f *tcpFlow) dial(now time.Time) {
	f.conn = stream.Dial(now, f.worker.random.Uint32())
	f.flush(now)
}

func (f *tcpFlow) receive(now time.Time, a arrival) {
	if !f.reopenAt.IsZero() || f.gaveUp() {
		return
	}
	p := a.packet
	segment := stream.Segment{Flags: p.Flags, Seq: p.Seq, Ack: p.Ack, Payload: p.Payload}
	data := f.conn.Receive(now, segment)
	if err := f.script.receive(now, data, f.tally); err != nil {
		f.breakOff(CauseCrossed)
		return
	}
	if f.conn.State() == stream.Refused && !f.outcome {
		f.tally.report.Retransmits += f.conn.Retransmits
		f.comeBack(now, a.retryAfter)
		return
	}
	f.advance(now)
}

func (f *tcpFlow) tick(now time.Time) {
	if f.reopenDue(now) {
		f.reopen()
		f.dial(now)
		return
	}
	if !f.reopenAt.IsZero() || f.gaveUp() {
		return
	}
	f.conn.Tick(now)
	f.advance(now)
}

// gaveUp tells whether the flow ended before all its answers came.
func (f *tcpFlow) gaveUp() bool { return f.outcome && !f.script.finished() }

// advance sends the next request or the close, and notes how the flow ended.
func (f *tcpFlow) advance(now time.Time) {
	switch {
	case f.conn.State() == stream.Established && f.script.due(now):
		f.conn.Write(now, f.script.next(now, f.worker.newID).Encode())
	case f.script.finished():
		f.answered()
		f.conn.Close(now)
	case f.script.stalled(now):
		f.breakOff(f.stallCause())
	}
	f.flush(now)
	if !f.outcome {
		f.noteEnd()
	}
}

func (f *tcpFlow) stallCause() Cause {
	if f.conn.Unacknowledged() {
		return CauseBlocked
	}
	return CauseStalled
}

func (f *tcpFlow) noteEnd() {
	switch f.conn.State() {
	case stream.Reset:
		f.breakOff(CauseReset)
	case stream.TimedOut:
		f.breakOff(f.timeoutCause())
	case stream.Closed:
		f.breakOff(CauseStalled)
	}
}

func (f *tcpFlow) timeoutCause() Cause {
	if f.conn.HandshakeCompleted() {
		return CauseTimeout
	}
	return CauseUnanswered
}

func (f *tcpFlow) flush(now time.Time) {
	for _, s := range f.conn.DrainSegments() {
		f.worker.send(now, wire.Packet{
			Protocol: state.TCP,
			Source:   f.caller,
			Dest:     f.service(),
			Flags:    s.Flags,
			Seq:      s.Seq,
			Ack:      s.Ack,
			Payload:  s.Payload,
		})
	}
}

func (f *tcpFlow) gone(now time.Time) bool {
	if !f.outcome {
		return false
	}
	ended := f.conn.State().Ended()
	limit := closeLimit
	if ended {
		limit = lingerTime
	}
	if now.Sub(f.endedAt) < limit {
		return false
	}
	f.tally.report.Retransmits += f.conn.Retransmits
	if f.conn.State() != stream.Closed {
		f.tally.report.UncleanCloses++
	}
	return true
}
