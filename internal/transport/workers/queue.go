package workers

import "sync"

// queue is the bounded queue of one shard. It also knows whether a worker is
// active for the shard, so that there is never more than one.
type queue struct {
	mu     sync.Mutex
	jobs   []*Job
	head   int
	count  int
	active bool
	// sweep is set when a sweep is due.
	sweep bool
}

func newQueue(length int) *queue {
	return &queue{jobs: make([]*Job, length)}
}

// put adds jobs and returns how many did not fit, and whether a worker has to
// be started.
func (q *queue) put(jobs []*Job) (rejected int, start bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	accepted := min(len(jobs), len(q.jobs)-q.count)
	for _, job := range jobs[:accepted] {
		q.jobs[(q.head+q.count)%len(q.jobs)] = job
		q.count++
	}
	return len(jobs) - accepted, q.activate(q.count > 0)
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
	for q.count > 0 && len(jobs) < cap(jobs) {
		jobs = append(jobs, q.jobs[q.head])
		q.jobs[q.head] = nil
		q.head = (q.head + 1) % len(q.jobs)
		q.count--
	}
	sweep = q.sweep
	q.sweep = false
	q.active = len(jobs) > 0 || sweep
	return jobs, sweep
}
