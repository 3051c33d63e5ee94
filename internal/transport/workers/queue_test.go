package workers

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestQueueHasOneActiveWorker drives a queue against a model.
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
				rejected, start := q.put(jobs)
				fit := min(len(jobs), length-len(model))
				require.Equal(t, len(jobs)-fit, rejected)
				model = append(model, jobs[:fit]...)
				require.Equal(t, !active && len(model) > 0, start)
				active = active || start
			case 1:
				start := q.wake()
				require.Equal(t, !active, start)
				active, sweep = true, true
			case 2:
				if !active {
					continue
				}
				jobs, due := q.take(make([]*Job, 0, 2))
				require.Equal(t, append([]*Job{}, model[:min(len(model), 2)]...), jobs)
				require.Equal(t, sweep, due)
				model = model[len(jobs):]
				active, sweep = len(jobs) > 0 || due, false
			}
		}
	})
}

func newJobs(count int) []*Job {
	jobs := make([]*Job, count)
	for i := range jobs {
		jobs[i] = new(Job)
	}
	return jobs
}
