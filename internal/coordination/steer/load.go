package steer

// The load that this answers: several times the usual work at all targets at once. A
// target whose queue is full takes no connection, and its silence looks like its end.
const (
	// overloadFactor is how many times the usual requests that wait, or openings a
	// second, make an overload; waitingSlack and openingsSlack are how many more. The
	// end of a third of the targets stays below until it is seen.
	overloadFactor = 4
	waitingSlack   = 4
	synSlack       = 8
	// sampleWeight is the weight of a sample in the usual number; while there is an
	// overload it counts for little, so that the overload does not become usual.
	sampleWeight         = 0.1
	overloadSampleWeight = 0.005
	// minSamples are needed before anything is usual.
	minSamples = 5
	// overloadHoldSamples is the number of samples for which an overload is not over yet: the
	// targets still work on what they queued.
	overloadHoldSamples = 5
)

// loadTracker is the work of all targets that passes through this host, and what is usual. A
// host of many sees the openings grow long before its few requests that wait.
type loadTracker struct {
	// waiting is the number of requests that wait for an answer.
	waiting         int
	baselineWaiting float64
	// syns is the number since the last sample, lastOpenings that of the second
	// before it.
	syns         int
	lastSYNs     int
	baselineSYNs float64
	samples      int
	// holdSamples is the number of samples for which the last overload still counts.
	holdSamples int
}

// sample takes the present numbers into the usual ones. It is called each second.
func (l *loadTracker) sample() {
	weight := sampleWeight
	l.holdSamples = max(0, l.holdSamples-1)
	if l.aboveThreshold() {
		l.holdSamples = overloadHoldSamples
	}
	switch {
	case l.samples < minSamples:
		l.samples++
		weight = 1 / float64(l.samples)
	case l.possiblyOverloaded():
		weight = overloadSampleWeight
	}
	l.baselineWaiting += weight * (float64(l.waiting) - l.baselineWaiting)
	l.baselineSYNs += weight * (float64(l.syns) - l.baselineSYNs)
	l.lastSYNs = l.syns
	l.syns = 0
}

// possiblyOverloaded tells that all targets may be overloaded. So may they be shortly after the start,
// when clients come back with what they could not send before.
func (l *loadTracker) possiblyOverloaded() bool { return l.samples < minSamples || l.overloaded() }

// overloaded tells that there is several times the usual work, or was a moment ago.
func (l *loadTracker) overloaded() bool {
	return l.samples == minSamples && (l.holdSamples > 0 || l.aboveThreshold())
}

// aboveThreshold tells that there is several times the usual work now.
func (l *loadTracker) aboveThreshold() bool {
	return float64(l.waiting) > overloadFactor*l.baselineWaiting+waitingSlack ||
		float64(max(l.syns, l.lastSYNs)) > overloadFactor*l.baselineSYNs+synSlack
}
