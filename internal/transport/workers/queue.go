package workers

import (
	"sync"

	"github.com/guavawharf/guavawharf/internal/coordination/fairqueue"
)

// queue is the bounded queue of one shard, fair among customers. It also knows
// whether a worker is active for the shard, so that there is never more than
// one.
type queue struct {
	mu     sync.Mutex
	jobs   *fairqueue.Queue[*Job]
	active bool
	// sweep is set when a sweep is due.
	sweep bool
}

func newQueue(length int) *queue {
	return &queue{jobs: fairqueue.New[*Job](length)}
}

// put adds jobs. It returns the jobs that had to give way, appended to dropped,
// and whether a worker has to be started.
func (q *queue) put(jobs, dropped []*Job) (_ []*Job, start bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, job := range jobs {
		lost, full := q.jobs.Push(job.lane.customer, job.lane.weight, job.cost(), job)
		if full {
			dropped = append(dropped, lost)
		}
	}
	return dropped, q.activate(q.jobs.Len() > 0)
}

// wake makes a sweep due and returns whether a worker has to be started.
func (q *queue) wake() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep = true
	return q.activate(true)
}

func (q *queue) activate(work bool) bool {
	if q.active || !work {
		return false
	}
	q.active = true
	return true
}

// take moves up to cap(dst) jobs to dst and tells whether a sweep is due. Without
// either the caller is no longer the active worker.
func (q *queue) take(dst []*Job) (jobs []*Job, sweep bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	jobs = dst[:0]
	for len(jobs) < cap(jobs) {
		job, ok := q.jobs.Pop()
		if !ok {
			break
		}
		jobs = append(jobs, job)
	}
	sweep = q.sweep
	q.sweep = false
	q.active = len(jobs) > 0 || sweep
	return jobs, sweep
}
