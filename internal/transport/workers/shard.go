package workers

import (
	"sync/atomic"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
)

// shard is one share of the flows. One worker at a time runs it.
type shard struct {
	pool   *Pool
	queue  *queue
	engine Engine
	output *output
	batch  []*Job
	// packetsHeld is whether packets are packetsHeld back after a pause.
	packetsHeld bool
	// runFunc is run bound once, so that starting a worker does not allocate.
	runFunc func()

	// handOver is set while records are to be passed on.
	handOver atomic.Bool
	// recordCount is the engine's number of records, for other goroutines.
	recordCount atomic.Int64
}

func newShard(p *Pool, engine Engine) (*shard, error) {
	output, err := newOutput(p)
	if err != nil {
		return nil, err
	}
	s := &shard{
		pool:   p,
		queue:  newQueue(p.settings.QueueLength),
		engine: engine,
		output: output,
		batch:  make([]*Job, 0, BatchSize),
	}
	s.runFunc = s.run
	return s, nil
}

// run works until nothing is left to do.
func (s *shard) run() {
	for {
		jobs, sweep := s.queue.dequeue(s.batch)
		if len(jobs) == 0 && !sweep {
			return
		}
		now := s.pool.settings.Now()
		s.output.routes = s.pool.routes.Load()
		s.checkFence(now)
		for _, job := range jobs {
			s.handle(now, job)
		}
		if sweep {
			s.sweep(now)
		}
		s.output.flush()
		for _, job := range jobs {
			s.pool.freeJob(job)
		}
		s.recordCount.Store(int64(s.engine.Len()))
	}
}

func (s *shard) handle(now time.Time, job *Job) {
	snapshot := s.output.routes.Snapshot
	if job.IsRecord {
		s.engine.HandleRecord(now, snapshot, job.Packet.Relay)
		return
	}
	if s.packetsHeld && job.Packet.Kind == traffic.KindSYN {
		s.output.counts.addEvent(EventHeldAfterPause)
		return
	}
	decision := s.engine.Handle(now, snapshot, &job.Packet)
	s.output.counts.addReason(decision.Reason)
	s.output.sendRecordMessages(decision.Messages[:decision.MessageCount])
	if s.packetsHeld && decision.Action != traffic.ActionRelay && decision.Action != traffic.ActionDrop {
		s.output.counts.addEvent(EventHeldAfterPause)
		return
	}
	s.execute(job, &decision)
}

// checkFence finds out whether packets are held back after a pause of this
// process. The engine learns of each pause once, before its next packet. Openings
// may have waited in the socket all the while and be decided elsewhere by now, so
// they are dropped: their callers send them again.
func (s *shard) checkFence(now time.Time) {
	up := s.pool.fence.raised(now)
	if up && !s.packetsHeld {
		s.engine.Resumed(now, s.output.routes.Snapshot)
	}
	s.packetsHeld = up
}

func (s *shard) execute(job *Job, decision *traffic.Decision) {
	switch decision.Action {
	case traffic.ActionForward:
		s.output.forward(job, decision.Target.Address)
	case traffic.ActionRelay:
		s.output.relay(job, decision.To, decision.Header)
	case traffic.ActionRefuse:
		s.pool.countRefused(s.output.routes.Snapshot, job.Packet.Key)
		s.output.refuse(job, decision.RetryAfter)
	case traffic.ActionReset:
		s.output.reset(job)
	default:
		s.output.counts.addEvent(EventDropped)
	}
}

// sweep visits some records and passes some on if that is asked for.
func (s *shard) sweep(now time.Time) {
	snapshot := s.output.routes.Snapshot
	s.output.sendRecordMessages(s.engine.Sweep(now, snapshot, SweepBudget))
	if !s.handOver.Load() {
		return
	}
	notices, done := s.engine.HandOverRecords(now, snapshot, HandOverBudget)
	s.output.sendRecordMessages(notices)
	if done {
		s.handOver.Store(false)
		s.pool.shardHandedOver()
	}
}
