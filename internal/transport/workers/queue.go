package workers

import (
	"sync"

	"github.com/guavawharf/guavawharf/internal/coordination/fairqueue"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// queue is the bounded queue of one shard, fair among customers. It also knows
// whether a worker is active for the shard, so that there is never more than
// one.
type queue struct {
	mu     sync.Mutex
	jobs   *fairqueue.Queue[laneKey, *Job]
	active bool
	// sweep is set when a sweep is due.
	sweep bool
}

// openFlowWeight is how much more of a customer's turn and room packets of open
// flows get than openings, so that a full queue loses openings first.
const openFlowWeight = 4

// laneKey tells the lanes of a shard's queue apart.
type laneKey struct {
	customer state.CustomerID
	openings bool
}

// place returns the job's lane and the weight of that lane.
func (j *Job) place() (laneKey, uint32) {
	key := laneKey{customer: j.lane.customer}
	key.openings = !j.Record && j.Packet.Kind == traffic.KindSYN
	if key.openings {
		return key, j.lane.weight
	}
	return key, j.lane.weight * openFlowWeight
}

func newQueue(length int) *queue {
	return &queue{jobs: fairqueue.New[laneKey, *Job](length)}
}

// put adds jobs. It returns the jobs that had to give way, appended to dropped,
// and whether a worker has to be started.
func (q *queue) put(jobs, dropped []*Job) (_ []*Job, start bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, job := range jobs {
		key, weight := job.place()
		lost, full := q.jobs.Push(key, weight, job.cost(), job)
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
