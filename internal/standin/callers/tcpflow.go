package callers

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/stream"
	"github.com/guavawharf/guavawharf/internal/standin/wire"
	"github.com/guavawharf/guavawharf/internal/state"
)

// tcpFlow is a flow over a TCP connection. If an entry host refuses the
// connection, the flow opens another one from a new address.
type tcpFlow struct {
	baseFlow
	conn *stream.Conn
}

func newTCPFlow(w *worker, group *Group, stats *groupStats, now time.Time) *tcpFlow {
	f := &tcpFlow{baseFlow: newBaseFlow(w, group, stats, now)}
	f.caller = w.newCallerAddress(group.Service.Addr())
	f.dial(now)
	return f
}

func (f *tcpFlow) dial(now time.Time) {
	f.conn = stream.Dial(now, f.worker.random.Uint32())
	f.sendSegments(now)
}

func (f *tcpFlow) receive(now time.Time, in inboundPacket) {
	if !f.reopenAt.IsZero() || f.endedEarly() {
		return
	}
	p := in.packet
	segment := stream.Segment{Flags: p.Flags, Seq: p.Seq, Ack: p.Ack, Payload: p.Payload}
	data := f.conn.Receive(now, segment)
	if err := f.requests.receive(now, data, f.stats); err != nil {
		f.markBroken(CauseCrossed)
		return
	}
	if f.conn.State() == stream.Refused && !f.ended {
		f.stats.report.Retransmits += f.conn.Retransmits
		f.scheduleReopen(now, in.retryAfter)
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
	if !f.reopenAt.IsZero() || f.endedEarly() {
		return
	}
	f.conn.Tick(now)
	f.advance(now)
}

// endedEarly reports whether the flow ended before all its requests were answered.
func (f *tcpFlow) endedEarly() bool { return f.ended && !f.requests.finished() }

// advance sends the next request, or closes the connection after the last answer,
// and marks the flow as broken if it stalled or its connection ended.
func (f *tcpFlow) advance(now time.Time) {
	switch {
	case f.conn.State() == stream.Established && f.requests.due(now):
		f.conn.Write(now, f.requests.next(now, f.worker.newRequestID).Encode())
	case f.requests.finished():
		f.markAnswered()
		f.conn.Close(now)
	case f.requests.stalled(now):
		f.markBroken(f.stallCause())
	}
	f.sendSegments(now)
	if !f.ended {
		f.checkConnectionEnd()
	}
}

func (f *tcpFlow) stallCause() Cause {
	if f.conn.Unacknowledged() {
		return CauseBlocked
	}
	return CauseStalled
}

// checkConnectionEnd marks the flow as broken if its connection has ended.
func (f *tcpFlow) checkConnectionEnd() {
	switch f.conn.State() {
	case stream.Reset:
		f.markBroken(CauseReset)
	case stream.TimedOut:
		f.markBroken(f.timeoutCause())
	case stream.Closed:
		f.markBroken(CauseStalled)
	}
}

func (f *tcpFlow) timeoutCause() Cause {
	if f.conn.HandshakeCompleted() {
		return CauseTimeout
	}
	return CauseUnanswered
}

// sendSegments sends the segments that the connection has ready.
func (f *tcpFlow) sendSegments(now time.Time) {
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

func (f *tcpFlow) removable(now time.Time) bool {
	if !f.ended {
		return false
	}
	ended := f.conn.State().Ended()
	limit := closeTimeout
	if ended {
		limit = lingerTime
	}
	if now.Sub(f.endedAt) < limit {
		return false
	}
	f.stats.report.Retransmits += f.conn.Retransmits
	if f.conn.State() != stream.Closed {
		f.stats.report.UncleanCloses++
	}
	return true
}
