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
	mu           sync.Mutex
	jobs         *fairqueue.Queue[laneKey, *Job]
	workerActive bool
	// sweepDue is set when a sweepDue is due.
	sweepDue bool
}

// openFlowWeight is how much more of a customer's turn and room packets of open
// flows get than openings, so that a full queue loses openings first.
const openFlowWeight = 4

// laneKey tells the lanes of a shard's queue apart.
type laneKey struct {
	customer state.CustomerID
	openings bool
}

// queueLane returns the job's lane and the weight of that lane.
func (j *Job) queueLane() (laneKey, uint32) {
	key := laneKey{customer: j.customerLane.customer}
	key.openings = !j.IsRecord && j.Packet.Kind == traffic.KindSYN
	if key.openings {
		return key, j.customerLane.weight
	}
	return key, j.customerLane.weight * openFlowWeight
}

func newQueue(length int) *queue {
	return &queue{jobs: fairqueue.New[laneKey, *Job](length)}
}

// enqueue adds jobs. It returns the jobs that had to give way, appended to dropped,
// and whether a worker has to be started.
func (q *queue) enqueue(jobs, dropped []*Job) (_ []*Job, start bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, job := range jobs {
		key, weight := job.queueLane()
		lost, full := q.jobs.Push(key, weight, job.cost(), job)
		if full {
			dropped = append(dropped, lost)
		}
	}
	return dropped, q.claimWorker(q.jobs.Len() > 0)
}

// requestSweep makes a sweep due and returns whether a worker has to be started.
func (q *queue) requestSweep() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweepDue = true
	return q.claimWorker(true)
}

func (q *queue) claimWorker(work bool) bool {
	if q.workerActive || !work {
		return false
	}
	q.workerActive = true
	return true
}

// dequeue moves up to cap(dst) jobs to dst and tells whether a sweep is due. Without
// either the caller is no longer the active worker.
func (q *queue) dequeue(dst []*Job) (jobs []*Job, sweep bool) {
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
	sweep = q.sweepDue
	q.sweepDue = false
	q.workerActive = len(jobs) > 0 || sweep
	return jobs, sweep
}
