package shed

import "time"

// measurement is what a window shows.
type measurement struct {
	answers int
	length  time.Duration
	// wait is the mean time to an answer; allowedWait, in seconds, is the one at which the
	// time in the queue is heldQueueShare of the objective.
	wait        time.Duration
	allowedWait float64
	// lateShare is the fraction of answers later than their objective.
	lateShare float64
	// queueShare is the mean time in the queue as a fraction of the objective.
	queueShare float64
	// rejectedShare is the fraction of rejected requests.
	rejectedShare float64
	// inFlight is the mean number of requests in flight that were answered.
	inFlight float64
}

// measure returns what the current window shows so far.
func (l *Limiter) measure(now time.Duration) measurement {
	m := measurement{length: now - l.windowStart}
	wait := 0.0
	for _, c := range l.classes {
		n := float64(c.window.count)
		if n == 0 {
			continue
		}
		m.answers += c.window.count
		wait += n * c.window.mean().Seconds()
		m.allowedWait += n * (c.baseline.wait.Seconds() + heldQueueShare*c.objective.Seconds())
		m.queueShare += n * c.queueShare()
		m.lateShare += float64(c.late)
		m.rejectedShare += float64(c.rejected)
	}
	if m.answers == 0 || m.length <= 0 {
		return m
	}
	n := float64(m.answers)
	m.wait = time.Duration(wait / n * float64(time.Second))
	m.allowedWait /= n
	m.queueShare /= n
	m.lateShare /= n
	m.rejectedShare /= n
	m.inFlight = l.waited.Seconds() / m.length.Seconds()
	return m
}

// discardWindow begins a new window in place of an incomplete one.
func (l *Limiter) discardWindow(now time.Duration) {
	l.spread.endWindow(false)
	l.startWindow(now)
}

func (l *Limiter) startWindow(now time.Duration) {
	l.windowStart = now
	l.refused = 0
	l.waited = 0
	for _, c := range l.classes {
		c.startWindow()
	}
	l.newFlows.startWindow()
}
