package callers

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/exchange"
	"github.com/guavawharf/guavawharf/internal/standin/wire"
	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	udpTimeout    = 300 * time.Millisecond
	maxUDPTimeout = 3 * time.Second
	// maxUDPAttempts is the number of timeouts in a row that breaks a flow.
	maxUDPAttempts = 7
)

// udpFlow sends its requests as datagrams from one address and repeats those
// that get no answer. All its answers must come from one target.
type udpFlow struct {
	course
	target   uint32
	answers  int
	attempts int
	timeout  time.Duration
	deadline time.Time
}

func newUDPFlow(w *worker, group *Group, t *tally, now time.Time) *udpFlow {
	f := &udpFlow{course: newCourse(w, group, t, now)}
	f.caller = w.newAddress(group.Service.Addr())
	return f
}

func (f *udpFlow) receive(now time.Time, a arrival) {
	switch {
	case f.outcome || !f.reopenAt.IsZero():
		return
	case a.refusal:
		f.refuse(now, a.retryAfter)
	default:
		f.receiveAnswer(now, a.packet.Payload)
	}
}

// refuse lets the flow come back; once it was answered, a refusal breaks it.
func (f *udpFlow) refuse(now time.Time, retryAfter time.Duration) {
	if f.answers > 0 {
		f.breakOff(CauseReset)
		return
	}
	f.script.waiting = false
	f.comeBack(now, retryAfter)
}

func (f *udpFlow) receiveAnswer(now time.Time, data []byte) {
	if len(data) < exchange.AnswerHeaderSize {
		f.breakOff(CauseCrossed)
		return
	}
	answer, err := exchange.DecodeAnswer(data)
	if err != nil {
		f.breakOff(CauseCrossed)
		return
	}
	if f.answers > 0 && answer.Target != f.target {
		f.breakOff(CauseMoved)
		return
	}
	f.target = answer.Target
	f.answers++
	if !f.script.waiting || answer.ID != f.script.request.ID {
		// The answer to a repeated request; its flow is told by its address.
		return
	}
	f.finishRequest(now, answer, data[exchange.AnswerHeaderSize:])
}

func (f *udpFlow) finishRequest(now time.Time, answer exchange.Answer, body []byte) {
	if err := f.script.finish(now, answer, body, f.tally); err != nil {
		f.breakOff(CauseCrossed)
		return
	}
	if f.script.finished() {
		f.answered()
	}
}

func (f *udpFlow) tick(now time.Time) {
	if f.reopenDue(now) {
		f.reopen()
	}
	switch {
	case f.outcome || !f.reopenAt.IsZero():
	case f.script.due(now):
		f.script.next(now, f.worker.newID)
		f.attempts = 0
		f.timeout = udpTimeout
		f.ask(now)
	case f.script.waiting && !now.Before(f.deadline):
		f.repeat(now)
	}
}

func (f *udpFlow) repeat(now time.Time) {
	f.attempts++
	f.tally.report.Retransmits++
	if f.attempts >= maxUDPAttempts {
		f.breakOff(f.timeoutCause())
		return
	}
	f.timeout = min(2*f.timeout, maxUDPTimeout)
	f.ask(now)
}

func (f *udpFlow) timeoutCause() Cause {
	if f.answers > 0 {
		return CauseTimeout
	}
	return CauseUnanswered
}

func (f *udpFlow) ask(now time.Time) {
	f.deadline = now.Add(f.timeout)
	f.worker.send(now, wire.Packet{
		Protocol: state.UDP,
		Source:   f.caller,
		Dest:     f.service(),
		Payload:  f.script.request.Encode(),
	})
}

func (f *udpFlow) gone(now time.Time) bool {
	return f.outcome && now.Sub(f.endedAt) > lingerTime
}
