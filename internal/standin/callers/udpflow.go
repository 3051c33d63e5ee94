package callers

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/exchange"
	"github.com/guavawharf/guavawharf/internal/standin/wire"
	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	initialUDPTimeout = 300 * time.Millisecond
	maxUDPTimeout     = 3 * time.Second
	// maxUDPAttempts is how often a request is sent before its flow breaks.
	maxUDPAttempts = 7
)

// udpFlow is a flow of UDP datagrams from one address. It retransmits requests
// that get no answer. All its answers must come from the same target.
type udpFlow struct {
	baseFlow
	target  uint32
	answers int
	// attempts counts the transmissions of the current request that timed out.
	attempts int
	timeout  time.Duration
	deadline time.Time
}

func newUDPFlow(w *worker, group *Group, stats *groupStats, now time.Time) *udpFlow {
	f := &udpFlow{baseFlow: newBaseFlow(w, group, stats, now)}
	f.caller = w.newCallerAddress(group.Service.Addr())
	return f
}

func (f *udpFlow) receive(now time.Time, in inboundPacket) {
	switch {
	case f.ended || !f.reopenAt.IsZero():
		return
	case in.refusal:
		f.handleRefusal(now, in.retryAfter)
	default:
		f.receiveAnswer(now, in.packet.Payload)
	}
}

// handleRefusal schedules another attempt to open the flow. A refusal after the
// first answer breaks the flow.
func (f *udpFlow) handleRefusal(now time.Time, retryAfter time.Duration) {
	if f.answers > 0 {
		f.markBroken(CauseReset)
		return
	}
	f.requests.awaitingAnswer = false
	f.scheduleReopen(now, retryAfter)
}

func (f *udpFlow) receiveAnswer(now time.Time, data []byte) {
	if len(data) < exchange.AnswerHeaderSize {
		f.markBroken(CauseCrossed)
		return
	}
	answer, err := exchange.DecodeAnswer(data)
	if err != nil {
		f.markBroken(CauseCrossed)
		return
	}
	if f.answers > 0 && answer.Target != f.target {
		f.markBroken(CauseMoved)
		return
	}
	f.target = answer.Target
	f.answers++
	if !f.requests.awaitingAnswer || answer.ID != f.requests.current.ID {
		// A duplicate answer, caused by a retransmission of the request. It belongs
		// to this flow since it was sent to its address.
		return
	}
	f.finishRequest(now, answer, data[exchange.AnswerHeaderSize:])
}

func (f *udpFlow) finishRequest(now time.Time, answer exchange.Answer, body []byte) {
	if err := f.requests.completeRequest(now, answer, body, f.stats); err != nil {
		f.markBroken(CauseCrossed)
		return
	}
	if f.requests.finished() {
		f.markAnswered()
	}
}

func (f *udpFlow) tick(now time.Time) {
	if f.reopenDue(now) {
		f.reopen()
	}
	switch {
	case f.ended || !f.reopenAt.IsZero():
	case f.requests.due(now):
		f.requests.next(now, f.worker.newRequestID)
		f.attempts = 0
		f.timeout = initialUDPTimeout
		f.sendRequest(now)
	case f.requests.awaitingAnswer && !now.Before(f.deadline):
		f.retransmit(now)
	}
}

// retransmit sends the request again with the timeout doubled, or marks the flow
// as broken after maxUDPAttempts.
func (f *udpFlow) retransmit(now time.Time) {
	f.attempts++
	f.stats.report.Retransmits++
	if f.attempts >= maxUDPAttempts {
		f.markBroken(f.timeoutCause())
		return
	}
	f.timeout = min(2*f.timeout, maxUDPTimeout)
	f.sendRequest(now)
}

func (f *udpFlow) timeoutCause() Cause {
	if f.answers > 0 {
		return CauseTimeout
	}
	return CauseUnanswered
}

func (f *udpFlow) sendRequest(now time.Time) {
	f.deadline = now.Add(f.timeout)
	f.worker.send(now, wire.Packet{
		Protocol: state.UDP,
		Source:   f.caller,
		Dest:     f.service(),
		Payload:  f.requests.current.Encode(),
	})
}

func (f *udpFlow) removable(now time.Time) bool {
	return f.ended && now.Sub(f.endedAt) > lingerTime
}
