package steer

// Overload detection, for a load of several times the baseline at all targets at once. A
// target whose queue is full accepts no connection and then looks like one that is down.
const (
	// The targets are overloaded if the waiting requests exceed overloadFactor times their
	// baseline plus waitingSlack, or the SYNs per second overloadFactor times theirs plus
	// synSlack. The failure of a third of the targets stays below these thresholds until
	// it is detected.
	overloadFactor = 4
	waitingSlack   = 4
	synSlack       = 8
	// sampleWeight is the weight of a sample in the baseline. overloadSampleWeight replaces
	// it in an overload, so that the overload does not soon become the baseline.
	sampleWeight         = 0.1
	overloadSampleWeight = 0.005
	// minSamples is the number of samples before there is a baseline.
	minSamples = 5
	// overloadHoldSamples is the number of samples for which an overload lasts beyond its
	// end: the targets still work on the requests that they queued.
	overloadHoldSamples = 5
)

// loadTracker compares the load of all targets that passes through this host with its
// baseline. On one of many hosts the SYNs rise long before the few waiting requests.
type loadTracker struct {
	// waiting is the number of flows that await an answer to a request.
	waiting         int
	baselineWaiting float64
	// syns counts new SYNs since the last sample, lastSYNs those of the second before it.
	syns         int
	lastSYNs     int
	baselineSYNs float64
	samples      int
	// holdSamples is the number of samples for which the last overload still counts.
	holdSamples int
}

// sample updates the baseline with the current load. It must run once a second. Idle
// seconds are left out: by comparison with them the usual traffic would be an overload.
func (l *loadTracker) sample() {
	if l.syns == 0 && l.waiting == 0 && l.holdSamples == 0 {
		l.lastSYNs = 0
		return
	}
	weight := sampleWeight
	l.holdSamples = max(0, l.holdSamples-1)
	if l.samples == minSamples && l.aboveThreshold() {
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

// possiblyOverloaded reports whether the targets may be overloaded. This includes the
// first samples after the start, when clients return with the requests that they could
// not send before.
func (l *loadTracker) possiblyOverloaded() bool { return l.samples < minSamples || l.overloaded() }

// overloaded reports whether the load exceeds a threshold or did so within the hold
// time.
func (l *loadTracker) overloaded() bool {
	return l.samples == minSamples && (l.holdSamples > 0 || l.aboveThreshold())
}

// aboveThreshold reports whether the load exceeds a threshold now.
func (l *loadTracker) aboveThreshold() bool {
	return float64(l.waiting) > overloadFactor*l.baselineWaiting+waitingSlack ||
		float64(max(l.syns, l.lastSYNs)) > overloadFactor*l.baselineSYNs+synSlack
}
