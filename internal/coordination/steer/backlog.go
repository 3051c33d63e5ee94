package steer

// The load that this answers: several times the usual work at all targets at once. A
// target whose queue is full takes no connection, and its silence looks like its end.
const (
	// backlogFactor and backlogSlack are how many times the usual number of waiting
	// requests, and how many more, make an overload. The end of a third of the targets
	// stays below until it is seen.
	backlogFactor = 4
	backlogSlack  = 4
	// backlogWeight is the weight of a sample in the usual number; while there is an
	// overload it counts for little, so that the overload does not become usual.
	backlogWeight         = 0.1
	backlogOverloadWeight = 0.005
	// backlogSamples are needed before anything is usual.
	backlogSamples = 5
)

// backlog is the number of requests through this host that wait for an answer, at all
// targets, and what is usual.
type backlog struct {
	waiting int
	usual   float64
	samples int
}

// sample takes the present number into the usual one. It is called each second.
func (b *backlog) sample() {
	weight := backlogWeight
	switch {
	case b.samples < backlogSamples:
		b.samples++
		weight = 1 / float64(b.samples)
	case b.high():
		weight = backlogOverloadWeight
	}
	b.usual += weight * (float64(b.waiting) - b.usual)
}

// high tells that all targets may be overloaded. So may they be shortly after the start,
// when clients come back with what they could not send before.
func (b *backlog) high() bool {
	return b.samples < backlogSamples || float64(b.waiting) > backlogFactor*b.usual+backlogSlack
}
