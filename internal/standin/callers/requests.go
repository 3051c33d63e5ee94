package callers

import (
	"errors"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/exchange"
)

const (
	// answerTimeout is how long a caller waits for the next byte of an answer.
	answerTimeout = 15 * time.Second
	// shedRetryDelay is the wait before a request that the target shed is sent
	// again.
	shedRetryDelay = 200 * time.Millisecond
)

var errWrongAnswer = errors.New("answer to another request")

// requestSequence tracks the requests of a flow, which are sent one at a time.
type requestSequence struct {
	group     *Group
	remaining int
	// current is the request being processed; awaitingAnswer is true once it was
	// sent.
	current        exchange.Request
	awaitingAnswer bool
	nextAt         time.Time
	sentAt         time.Time
	// lastProgress is when data of an answer last arrived, or when the request
	// was sent. buffered is the received data of an incomplete answer.
	lastProgress time.Time
	buffered     []byte
}

func newRequestSequence(group *Group, now time.Time) requestSequence {
	return requestSequence{group: group, remaining: group.Exchanges, nextAt: now}
}

// due reports whether it is time to send the next request.
func (s *requestSequence) due(now time.Time) bool {
	return s.remaining > 0 && !s.awaitingAnswer && !now.Before(s.nextAt)
}

// next returns the request to send. A request that was shed is sent again with
// the same id.
func (s *requestSequence) next(now time.Time, newID func() uint64) exchange.Request {
	if s.current.ID == 0 {
		s.current = exchange.Request{ID: newID(), Kind: s.group.Kind, AnswerSize: s.group.AnswerSize}
	}
	s.awaitingAnswer = true
	s.sentAt = now
	s.lastProgress = now
	return s.current
}

// stalled reports whether no data arrived for answerTimeout although an answer is
// outstanding.
func (s *requestSequence) stalled(now time.Time) bool {
	return s.awaitingAnswer && now.Sub(s.lastProgress) > answerTimeout
}

func (s *requestSequence) finished() bool { return s.remaining == 0 }

// receive appends data of the TCP stream and processes each complete answer.
func (s *requestSequence) receive(now time.Time, data []byte, stats *groupStats) error {
	if len(data) == 0 {
		return nil
	}
	s.lastProgress = now
	s.buffered = append(s.buffered, data...)
	for len(s.buffered) >= exchange.AnswerHeaderSize {
		answer, err := exchange.DecodeAnswer(s.buffered)
		if err != nil {
			return errWrongAnswer
		}
		size := exchange.AnswerHeaderSize + int(answer.Size)
		if len(s.buffered) < size {
			return nil
		}
		body := s.buffered[exchange.AnswerHeaderSize:size]
		if err := s.completeRequest(now, answer, body, stats); err != nil {
			return err
		}
		s.buffered = s.buffered[size:]
	}
	return nil
}

// completeRequest checks a complete answer and schedules the next request, or the
// same one again if it was shed.
func (s *requestSequence) completeRequest(now time.Time, a exchange.Answer, body []byte, stats *groupStats) error {
	if !s.awaitingAnswer || a.ID != s.current.ID || !exchange.BodyMatches(body, a.ID) {
		return errWrongAnswer
	}
	s.awaitingAnswer = false
	if a.Status == exchange.NotRun {
		stats.report.Shed++
		s.nextAt = now.Add(shedRetryDelay)
		return nil
	}
	if a.Size != s.current.AnswerSize {
		return errWrongAnswer
	}
	stats.report.Requests++
	stats.recordLatency(now.Sub(s.sentAt))
	s.current = exchange.Request{}
	s.remaining--
	s.nextAt = s.sentAt.Add(s.group.Interval)
	return nil
}
