package callers

import (
	"errors"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/exchange"
)

const (
	// answerLimit is how long a caller waits for the rest of an answer.
	answerLimit = 15 * time.Second
	// shedDelay is the wait before a request that was not run is sent again.
	shedDelay = 200 * time.Millisecond
)

var errCrossed = errors.New("answer to another request")

// script is the course of a flow: its requests one after the other.
type script struct {
	group *Group
	left  int
	// request is the current one; waiting tells that it was sent.
	request exchange.Request
	waiting bool
	nextAt  time.Time
	askedAt time.Time
	// lastProgress is when the last byte of an answer came.
	lastProgress time.Time
	unread       []byte
}

func newScript(group *Group, now time.Time) script {
	return script{group: group, left: group.Exchanges, nextAt: now}
}

// due tells whether the next request is to be sent.
func (s *script) due(now time.Time) bool {
	return s.left > 0 && !s.waiting && !now.Before(s.nextAt)
}

// next returns the request to send. A request that was not run keeps its id.
func (s *script) next(now time.Time, newID func() uint64) exchange.Request {
	if s.request.ID == 0 {
		s.request = exchange.Request{ID: newID(), Kind: s.group.Kind, AnswerSize: s.group.AnswerSize}
	}
	s.waiting = true
	s.askedAt = now
	s.lastProgress = now
	return s.request
}

func (s *script) stalled(now time.Time) bool {
	return s.waiting && now.Sub(s.lastProgress) > answerLimit
}

func (s *script) finished() bool { return s.left == 0 }

// receive takes bytes of a stream and finishes each whole answer.
func (s *script) receive(now time.Time, data []byte, t *tally) error {
	if len(data) == 0 {
		return nil
	}
	s.lastProgress = now
	s.unread = append(s.unread, data...)
	for len(s.unread) >= exchange.AnswerHeaderSize {
		answer, err := exchange.DecodeAnswer(s.unread)
		if err != nil {
			return errCrossed
		}
		size := exchange.AnswerHeaderSize + int(answer.Size)
		if len(s.unread) < size {
			return nil
		}
		body := s.unread[exchange.AnswerHeaderSize:size]
		if err := s.finish(now, answer, body, t); err != nil {
			return err
		}
		s.unread = s.unread[size:]
	}
	return nil
}

// finish checks a whole answer and moves on to the next request.
func (s *script) finish(now time.Time, a exchange.Answer, body []byte, t *tally) error {
	if !s.waiting || a.ID != s.request.ID || !exchange.BodyMatches(body, a.ID) {
		return errCrossed
	}
	s.waiting = false
	if a.Status == exchange.NotRun {
		t.report.Shed++
		s.nextAt = now.Add(shedDelay)
		return nil
	}
	if a.Size != s.request.AnswerSize {
		return errCrossed
	}
	t.report.Requests++
	t.answerTime(now.Sub(s.askedAt))
	s.request = exchange.Request{}
	s.left--
	s.nextAt = s.askedAt.Add(s.group.Interval)
	return nil
}
