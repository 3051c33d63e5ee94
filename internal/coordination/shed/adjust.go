package shed

import "time"

// endWindow begins, adjusts or ends the limit by a window.
func (l *Limiter) endWindow(now time.Duration, m measurement) *Change {
	if m.queueShare <= heldQueueShare {
		l.queueSince = now
	}
	for _, c := range l.classes {
		c.recordPart(m.answers)
	}
	l.recordRefusals(m)
	wasLimiting := l.limiting
	overload := l.limiting || l.overloaded(m)
	switch {
	case l.limiting:
		l.adjust(m)
	case overload && !l.spread.hasRoom():
		l.limiting = true
		l.calm = 0
		l.limit = l.startLimit(m)
	}
	l.spread.endWindow(overload)
	l.learnBaseline(now, m)
	if wasLimiting == l.limiting {
		return nil
	}
	return l.change(m)
}

// overloaded reports whether a window has signs of an overload.
func (l *Limiter) overloaded(m measurement) bool {
	return m.lateShare > maxLateShare || l.crowded(m) || l.rejecting(m)
}

// startLimit returns the limit at the start of an overload.
func (l *Limiter) startLimit(m measurement) float64 {
	if l.UseRejections {
		return l.newFlows.startLimit(m.length, m.allowedWait)
	}
	return max(startFactor*l.baselineInFlight, minLimit)
}

// crowded reports whether far more requests are in flight than without an overload, and
// wait in a queue.
func (l *Limiter) crowded(m measurement) bool {
	return l.baselineInFlight > 0 &&
		m.inFlight > crowdFactor*l.baselineInFlight+crowdSlack &&
		m.queueShare > crowdQueueShare
}

// rejecting reports whether the targets reject so many requests that they are overloaded.
func (l *Limiter) rejecting(m measurement) bool {
	return l.UseRejections && m.rejectedShare > maxRejectedShare
}

// gradient returns the factor by which a window changes the limit: to where the mean time
// in the queue is heldQueueShare and, with UseRejections, heldRejectedShare of the first
// requests are rejected. Without, the limit rises while a domain has room.
func (l *Limiter) gradient(m measurement) float64 {
	gradient := m.allowedWait / m.wait.Seconds()
	switch {
	case l.UseRejections:
		gradient = min(gradient, l.newFlows.gradient())
	case l.spread.hasRoom():
		return maxGradient
	}
	return min(max(gradient, minGradient), maxGradient)
}

// adjust changes the limit, and ends the overload once the limit has not been needed for
// calmWindows.
func (l *Limiter) adjust(m measurement) {
	gradient := l.gradient(m)
	if gradient >= 1 && l.refused == 0 {
		l.calm++
		l.limiting = l.calm < calmWindows
		return
	}
	l.calm = 0
	l.limit = max(l.limit*gradient, minLimit)
}

// learnBaseline moves the baselines towards the window's means. A window with a queue is
// left out, so that an overload does not become the baseline, unless the queue has stood
// for futileAfter: refusing does not help then.
func (l *Limiter) learnBaseline(now time.Duration, m measurement) {
	futile := l.limiting && now-l.queueSince > futileAfter
	if (l.limiting || m.queueShare > calmQueueShare) && !futile {
		return
	}
	for _, c := range l.classes {
		if c.window.count > 0 {
			c.baseline.approach(c.window.mean())
			c.learnSizes()
		}
	}
	if l.baselineInFlight == 0 {
		l.baselineInFlight = m.inFlight
	}
	l.baselineInFlight += baselineWeight * (m.inFlight - l.baselineInFlight)
}
