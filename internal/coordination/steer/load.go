package steer

// The load that this answers: several times the usual work at all targets at once. A
// target whose queue is full takes no connection, and its silence looks like its end.
const (
	// overloadFactor is how many times the usual requests that wait, or openings a
	// second, make an overload; waitingSlack and openingsSlack are how many more. The
	// end of a third of the targets stays below until it is seen.
	overloadFactor = 4
	waitingSlack   = 4
	openingsSlack  = 8
	// sampleWeight is the weight of a sample in the usual number; while there is an
	// overload it counts for little, so that the overload does not become usual.
	sampleWeight         = 0.1
	overloadSampleWeight = 0.005
	// samplesNeeded are needed before anything is usual.
	samplesNeeded = 5
	// overloadLasts is the number of samples for which an overload is not over yet: the
	// targets still work on what they queued.
	overloadLasts = 5
)

// load is the work of all targets that passes through this host, and what is usual. A
// host of many sees the openings grow long before its few requests that wait.
type load struct {
	// waiting is the number of requests that wait for an answer.
	waiting      int
	usualWaiting float64
	// openings is the number since the last sample, lastOpenings that of the second
	// before it.
	openings      int
	lastOpenings  int
	usualOpenings float64
	samples       int
	// lasts is the number of samples for which the last overload still counts.
	lasts int
}

// sample takes the present numbers into the usual ones. It is called each second.
func (l *load) sample() {
	weight := sampleWeight
	l.lasts = max(0, l.lasts-1)
	if l.above() {
		l.lasts = overloadLasts
	}
	switch {
	case l.samples < samplesNeeded:
		l.samples++
		weight = 1 / float64(l.samples)
	case l.high():
		weight = overloadSampleWeight
	}
	l.usualWaiting += weight * (float64(l.waiting) - l.usualWaiting)
	l.usualOpenings += weight * (float64(l.openings) - l.usualOpenings)
	l.lastOpenings = l.openings
	l.openings = 0
}

// high tells that all targets may be overloaded. So may they be shortly after the start,
// when clients come back with what they could not send before.
func (l *load) high() bool { return l.samples < samplesNeeded || l.overloaded() }

// overloaded tells that there is several times the usual work, or was a moment ago.
func (l *load) overloaded() bool {
	return l.samples == samplesNeeded && (l.lasts > 0 || l.above())
}

// above tells that there is several times the usual work now.
func (l *load) above() bool {
	return float64(l.waiting) > overloadFactor*l.usualWaiting+waitingSlack ||
		float64(max(l.openings, l.lastOpenings)) > overloadFactor*l.usualOpenings+openingsSlack
}
