// Package shed decides which new flows to refuse while the targets of a service have a
// standing queue. It answers this load: more requests arrive than the targets have slots
// for, so that every queue is full, accepted requests wait through it and are answered
// late, and the retries of rejected ones keep it full. A request on an open flow can't be
// refused without breaking the flow, so new flows give way, those of the least important
// routes first.
package shed

import (
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/outcomes"
	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	// minWindow is the shortest time over which answers are collected before the limit
	// changes. It is longer if the answers themselves take longer, since they show the
	// effect of the last change.
	minWindow = 100 * time.Millisecond
	// maxWindow is the time after which an incomplete window is discarded.
	maxWindow = 4 * time.Second
	// minAnswers is the number of answers that a window needs to show the queue and not a
	// few slow targets or large requests.
	minAnswers = 24
	// maxLateShare is the fraction of answers later than their objective above which the
	// targets are overloaded. Below it, refusing requests that can be answered in time or a
	// little later serves nobody.
	maxLateShare = 0.5
	// crowdFactor times the baseline plus crowdSlack requests in flight show an overload,
	// too, if the mean time in the queue is at least crowdQueueShare of the objective: a full
	// target's quick rejections may outnumber the answers that waited.
	crowdFactor     = 5
	crowdSlack      = 8
	crowdQueueShare = 0.25
	// maxRejectedShare is the fraction of rejected requests above which the targets are
	// overloaded, heldRejectedShare the one at which an overload is held. Both apply only if
	// Limiter.UseRejections is set.
	maxRejectedShare  = 0.25
	heldRejectedShare = 0.1
	// calmQueueShare is the mean time in the queue, as a fraction of the objective, up to
	// which a window belongs to the baseline.
	calmQueueShare = 0.125
	// heldQueueShare is the mean time in the queue at which an overload is held. Without any
	// queue, slots would be idle between two requests.
	heldQueueShare = 0.4
	// startFactor times the baseline of the requests in flight, and at least minLimit, is
	// the limit at the start of an overload.
	startFactor = 2
	minLimit    = 2
	// The limit changes by a factor between minGradient and maxGradient a window.
	minGradient = 0.7
	maxGradient = 1.4
	// calmWindows is the number of consecutive windows without a queue and without a refusal
	// that end an overload.
	calmWindows = 5
	// futileAfter is the time for which a queue stands in spite of refusals before it is
	// taken for the usual time to an answer.
	futileAfter = 15 * time.Second
)

// Change reports that a limiter began or ceased to limit new flows.
type Change struct {
	// Limiting reports whether new flows are limited from now on.
	Limiting bool
	// LateShare is the fraction of answers later than their objective, QueueShare the mean
	// time in the queue as a fraction of it, InFlight the mean number of requests in flight,
	// RejectedShare the fraction of rejected requests, all over Answers answers.
	LateShare     float64
	QueueShare    float64
	InFlight      float64
	RejectedShare float64
	Answers       int
}

// Limiter limits the new flows of one service. It is not safe for concurrent use. Times
// are counted from the start of the process.
type Limiter struct {
	// UseRejections makes rejections a sign of overload, and limits the new flows in flight
	// and not all requests.
	UseRejections bool
	windowStart   time.Duration
	newFlows      newFlows
	// spread counts the targets that answered in this window.
	spread spread
	// waited is the sum of the times to all answers of this window.
	waited time.Duration
	// inFlight is the number of requests without an answer and of new flows without a
	// request.
	inFlight int
	// baselineInFlight is the mean number of requests in flight without an overload.
	baselineInFlight float64
	// limiting is set in an overload. New flows are then refused while inFlight is at limit.
	limiting bool
	limit    float64
	// reserved is the number of new flows that may be admitted above the limit.
	reserved float64
	// refused is the number of new flows refused in this window, refusals counts those of the
	// windows before.
	refused  int
	refusals outcomes.Count
	// calm is the number of consecutive windows without a queue and without a refusal;
	// queueSince is when the last window without a queue ended.
	calm       int
	queueSince time.Duration
	// classes are the priorities seen, the most important first.
	classes []*class
	// accounts are those of the clients, with UseRejections.
	accounts accounts
}

// Answer is an answered request.
type Answer struct {
	// Took is the time from the request to the first sign of its answer.
	Took time.Duration
	// Objective is the latency objective of the request's route, Priority its priority, 0
	// for the most important.
	Objective time.Duration
	Priority  int
	// Size is the number of bytes in the first packet of the answer that the client has
	// acknowledged, 0 if it is not known.
	Size uint32
	// First is set for the first request of a new flow.
	First bool
	// Source is the target's, nil if it is not known.
	Source *Source
}

// AddInFlight changes the number of requests in flight.
func (l *Limiter) AddInFlight(n int) { l.inFlight += n }

// Expire ends an overload if there were too few answers to go by for maxWindow, and
// returns the change or nil. It must run once a second.
func (l *Limiter) Expire(now time.Duration) *Change {
	l.accounts.decay()
	if !l.limiting || now-l.windowStart <= maxWindow {
		return nil
	}
	m := l.measure(now)
	l.limiting = false
	l.discardWindow(now)
	return l.change(m)
}

// change returns the change to the current state, which m has shown.
func (l *Limiter) change(m measurement) *Change {
	return &Change{
		Limiting:   l.limiting,
		LateShare:  m.lateShare,
		QueueShare: m.queueShare,
		InFlight:   m.inFlight,
		Answers:    m.answers,

		RejectedShare: m.rejectedShare,
	}
}

// RecordAnswer records an answer and returns a change, or nil.
func (l *Limiter) RecordAnswer(now time.Duration, a Answer) *Change {
	if a.Objective <= 0 {
		return nil
	}
	if now-l.windowStart > maxWindow {
		l.discardWindow(now)
	}
	l.waited += a.Took
	c := l.class(a.Priority)
	l.reserve(c, a)
	c.record(a)
	l.newFlows.record(a, c.rejects(a))
	l.recordSource(c, a)
	m := l.measure(now)
	if m.answers < minAnswers || m.length < minWindow+m.wait {
		return nil
	}
	change := l.endWindow(now, m)
	l.startWindow(now)
	return change
}

// recordSource counts the target of an answer.
func (l *Limiter) recordSource(c *class, a Answer) {
	if a.Source == nil {
		return
	}
	queue := time.Duration(crowdQueueShare * float64(a.Objective))
	l.counts().record(a.Source, c.rejects(a) || c.baseline.ready() && a.Took > c.baseline.wait+queue)
}

// DrainRefusals returns the count of refused flows since the last call, without those of the
// current window.
func (l *Limiter) DrainRefusals() outcomes.Count {
	refusals := l.refusals
	l.refusals = outcomes.Count{}
	return refusals
}

// recordRefusals counts the flows refused in a window.
func (l *Limiter) recordRefusals(m measurement) {
	refused := uint64(l.refused)
	l.refusals.Made += refused
	if m.queueShare <= calmQueueShare && m.rejectedShare == 0 {
		l.refusals.Wrong += refused
	}
}

// counts returns the counts of the failure domains.
func (l *Limiter) counts() spread {
	if l.spread == nil {
		l.spread = make(spread)
	}
	return l.spread
}

// SetTargets sets the number of targets that take new flows in each failure domain.
func (l *Limiter) SetTargets(targets map[state.DomainID]int) { l.counts().setTargets(targets) }

// Queue returns the time of an answer beyond the usual one, in units of the usual one. The
// result is false before that is known.
func (l *Limiter) Queue(a Answer) (float64, bool) {
	c := l.class(a.Priority)
	if !c.baseline.ready() {
		return 0, false
	}
	return float64(a.Took-c.baseline.wait) / float64(c.baseline.wait), true
}

// Rejects reports whether an answer is a rejection.
func (l *Limiter) Rejects(a Answer) bool { return l.class(a.Priority).rejects(a) }

// class returns the class of a priority.
func (l *Limiter) class(priority int) *class {
	i, found := l.find(priority)
	if !found {
		l.classes = slices.Insert(l.classes, i, &class{priority: priority})
	}
	return l.classes[i]
}

// find returns the index of a priority among the classes, and whether there is such a class.
func (l *Limiter) find(priority int) (index int, found bool) {
	return slices.BinarySearchFunc(l.classes, priority, func(c *class, p int) int { return c.priority - p })
}
