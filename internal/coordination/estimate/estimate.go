// Package estimate estimates how long one more request waits at each target of a pool, from
// the answers that pass through one host. It answers this load: targets are unevenly busy or
// slow, and there are so many of them that a host sees each one only now and then. What it
// sees of a failure domain's other targets then stands for the target.
//
// The unit is the usual time to an answer: 0 is no queue.
package estimate

import "time"

const (
	// maxQueue is the longest queue that an estimate shows, and what a rejection counts as:
	// a full target's.
	maxQueue = 4
	// noise is the estimate up to which a target counts as one without a queue: single
	// times to an answer vary by more than half.
	noise = 0.5
	// targetWeight and domainWeight are the weights of one sample.
	targetWeight = 0.4
	domainWeight = 0.06
	// targetMemory is the time in which a target's estimate fades to its domain's,
	// domainMemory that in which the domain's fades to no queue.
	targetMemory = 8 * time.Second
	domainMemory = 2 * time.Second
)

// Domain is the estimate for the targets of a pool in one failure domain. Times are counted
// from the start of the process. It is not safe for concurrent use.
type Domain struct {
	mean       mean
	lastSample time.Duration
}

// Target is the estimate for one target. It is not safe for concurrent use.
type Target struct {
	domain     *Domain
	mean       mean
	lastSample time.Duration
}

// NewTarget returns the estimate of a target without samples in a domain.
func NewTarget(domain *Domain) Target { return Target{domain: domain} }

// mean is a moving mean whose first sample counts in full.
type mean struct {
	value float64
	known bool
}

func (m *mean) add(sample, weight float64) {
	if !m.known {
		m.known = true
		m.value = sample
		return
	}
	m.value += weight * (sample - m.value)
}

// RecordAnswer records the answer to a request that waited in a queue for the given time.
func (t *Target) RecordAnswer(now time.Duration, queue float64) {
	t.record(now, min(queue, maxQueue))
}

// RecordRejection records that the target rejected a request.
func (t *Target) RecordRejection(now time.Duration) { t.record(now, maxQueue) }

func (t *Target) record(now time.Duration, queue float64) {
	if now-t.lastSample > targetMemory {
		t.mean = mean{}
	}
	t.mean.add(queue, targetWeight)
	t.lastSample = now
	d := t.domain
	if now-d.lastSample > domainMemory {
		d.mean = mean{}
	}
	d.mean.add(queue, domainWeight)
	d.lastSample = now
}

// Queue returns the estimated queue at the target, from 0 to maxQueue.
func (t *Target) Queue(now time.Duration) float64 {
	queue := t.domain.Queue(now)
	if t.mean.known {
		queue += remaining(now-t.lastSample, targetMemory) * (t.mean.value - queue)
	}
	if queue < noise {
		return 0
	}
	return queue
}

// Queue returns the estimated mean queue at the targets of the domain.
func (d *Domain) Queue(now time.Duration) float64 {
	return remaining(now-d.lastSample, domainMemory) * d.mean.value
}

// remaining returns the weight that a sample of the given age still has, from 1 to 0.
func remaining(age, memory time.Duration) float64 {
	if age >= memory {
		return 0
	}
	return 1 - float64(age)/float64(memory)
}
