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
}

// sample takes the present numbers into the usual ones. It is called each second.
func (l *load) sample() {
	weight := sampleWeight
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
func (l *load) high() bool {
	return l.samples < samplesNeeded ||
		float64(l.waiting) > overloadFactor*l.usualWaiting+waitingSlack ||
		float64(max(l.openings, l.lastOpenings)) > overloadFactor*l.usualOpenings+openingsSlack
}
