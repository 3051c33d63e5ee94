package upstream

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/exchange"
)

// job is a request and the function that sends its answer.
type job struct {
	request exchange.Request
	answer  func(exchange.Answer)
}

// submit starts, queues or sheds a request. t.mu must be held.
func (t *Target) submit(j job) {
	switch {
	case t.running < t.options.Slots:
		t.start(j)
	case len(t.queue) < t.options.QueueLimit:
		t.queue = append(t.queue, j)
	default:
		t.counts.shed.Add(1)
		j.answer(exchange.Answer{ID: j.request.ID, Status: exchange.NotRun, Target: t.number})
	}
}

func (t *Target) start(j job) {
	t.running++
	t.counts.run.Add(1)
	if j.request.Kind == exchange.Deposit && !t.requestLog.Record(j.request.ID) {
		t.counts.runTwice.Add(1)
	}
	time.AfterFunc(t.serviceTime(time.Now()), func() { t.finish(j) })
}

func (t *Target) finish(j job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	j.answer(exchange.Answer{
		ID:     j.request.ID,
		Status: exchange.Done,
		Size:   j.request.AnswerSize,
		Target: t.number,
	})
	if len(t.queue) > 0 && t.running < t.options.Slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.start(next)
	}
}

// serviceTime returns the time that a request takes. It falls linearly from
// coldStartFactor times the setting to the setting during the cold start.
func (t *Target) serviceTime(now time.Time) time.Duration {
	age := now.Sub(t.started)
	if age >= t.options.ColdStart {
		return t.options.ServiceTime
	}
	cold := 1 - float64(age)/float64(t.options.ColdStart)
	factor := 1 + (coldStartFactor-1)*cold
	return time.Duration(factor * float64(t.options.ServiceTime))
}
