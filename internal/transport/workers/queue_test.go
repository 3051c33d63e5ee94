package workers

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
)

// TestQueueHasOneActiveWorker compares a queue with a model under random operations: it
// must ask for a worker exactly when there is work and none is active.
func TestQueueHasOneActiveWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 5
		q := newQueue(length)
		var model []*Job
		active, sweep := false, false
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				jobs := newJobs(rapid.IntRange(1, 4).Draw(t, "jobs"))
				dropped, start := q.enqueue(jobs, nil)
				fit := min(len(jobs), length-len(model))
				require.ElementsMatch(t, jobs[fit:], dropped)
				model = append(model, jobs[:fit]...)
				require.Equal(t, !active && len(model) > 0, start)
				active = active || start
			case 1:
				start := q.requestSweep()
				require.Equal(t, !active, start)
				active, sweep = true, true
			case 2:
				if !active {
					continue
				}
				jobs, due := q.dequeue(make([]*Job, 0, 2))
				require.Equal(t, append([]*Job{}, model[:min(len(model), 2)]...), jobs)
				require.Equal(t, sweep, due)
				model = model[len(jobs):]
				active, sweep = len(jobs) > 0 || due, false
			}
		}
	})
}

// TestBurstOfOneCustomerDropsNoPacketsOfAnother fills the queue with packets of one
// customer. Packets of another must still be queued in place of the first's.
func TestBurstOfOneCustomerDropsNoPacketsOfAnother(t *testing.T) {
	const length = 100
	q := newQueue(length)
	burst, other := newJobs(10*length), newJobs(10)
	for _, job := range burst {
		job.customerLane = customerLane{customer: "large", weight: 1}
	}
	for _, job := range other {
		job.customerLane = customerLane{customer: "small", weight: 1}
	}
	dropped, _ := q.enqueue(burst, nil)
	require.Len(t, dropped, len(burst)-length)
	dropped, _ = q.enqueue(other, nil)
	require.Len(t, dropped, len(other))
	require.NotSubset(t, dropped, other[:1])
	jobs, _ := q.dequeue(make([]*Job, 0, length))
	require.Subset(t, jobs, other)
}

// TestFullQueueDropsOpeningsBeforePacketsOfOpenFlows fills the queue with openings of
// a customer. Packets of the customer's open flows must displace openings, and further
// openings must not displace them.
func TestFullQueueDropsOpeningsBeforePacketsOfOpenFlows(t *testing.T) {
	const length = 100
	q := newQueue(length)
	openings, open := newJobs(10*length), newJobs(length/2)
	for _, job := range open {
		job.Packet.Kind = traffic.KindData
	}
	_, _ = q.enqueue(openings, nil)
	dropped, _ := q.enqueue(open, nil)
	require.Len(t, dropped, len(open))
	require.Subset(t, openings, dropped)
	dropped, _ = q.enqueue(newJobs(length), nil)
	for _, job := range dropped {
		require.Equal(t, traffic.KindSYN, job.Packet.Kind)
	}
}

// jobCount numbers the jobs, so that no two are equal.
var jobCount atomic.Int64

func newJobs(count int) []*Job {
	jobs := make([]*Job, count)
	for i := range jobs {
		jobs[i] = &Job{size: int(jobCount.Add(1))}
	}
	return jobs
}
