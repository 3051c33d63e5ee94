package workers

import (
	"sync"

	"github.com/guavawharf/guavawharf/internal/coordination/fairqueue"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// queue is the bounded queue of one shard, fair among customers. It also records
// whether a worker is active for the shard, so that at most one is.
type queue struct {
	mu           sync.Mutex
	jobs         *fairqueue.Queue[laneKey, *Job]
	workerActive bool
	// sweepDue is set from a sweep request until a worker dequeues it.
	sweepDue bool
}

// openFlowWeight is the factor by which a customer's packets of open flows outweigh
// its openings, in bandwidth and in queue space. A full queue drops openings first.
const openFlowWeight = 4

// laneKey identifies a lane of a shard's queue.
type laneKey struct {
	customer state.CustomerID
	openings bool
}

// queueLane returns the key and the weight of the job's lane.
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

// enqueue adds jobs. It appends the jobs that a full queue drops, new ones or others,
// to dropped, and reports whether the caller must start a worker.
func (q *queue) enqueue(jobs, dropped []*Job) (_ []*Job, start bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, job := range jobs {
		key, weight := job.queueLane()
		evicted, full := q.jobs.Push(key, weight, job.cost(), job)
		if full {
			dropped = append(dropped, evicted)
		}
	}
	return dropped, q.claimWorker(q.jobs.Len() > 0)
}

// requestSweep marks a sweep as due and reports whether the caller must start a
// worker.
func (q *queue) requestSweep() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweepDue = true
	return q.claimWorker(true)
}

// claimWorker marks a worker as active if there is work and none is active yet. It
// reports whether the caller must start one.
func (q *queue) claimWorker(work bool) bool {
	if q.workerActive || !work {
		return false
	}
	q.workerActive = true
	return true
}

// dequeue moves up to cap(dst) jobs to dst and reports whether a sweep is due. If it
// returns neither jobs nor a sweep, the caller is no longer the active worker.
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
