package workers

import (
	"sync/atomic"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
)

// shard processes the packets of one share of the flows, by fingerprint. At most one
// worker at a time runs it.
type shard struct {
	pool   *Pool
	queue  *queue
	engine Engine
	output *output
	batch  []*Job
	// packetsHeld is whether packets are withheld after a pause of this process.
	packetsHeld bool
	// runFunc is the method value run, bound once so that starting a worker does
	// not allocate.
	runFunc func()

	// handOver is set while records are to be handed over.
	handOver atomic.Bool
	// recordCount is the engine's number of records after the last batch, for other
	// goroutines.
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

// run processes batches and sweeps until none is left.
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

// checkFence sets packetsHeld. It informs the engine of each pause of this process
// once, before the engine's next packet. While packets are withheld, openings are
// dropped: they may have waited in the socket during the pause and be decided by
// another host by now, and their callers retransmit them.
func (s *shard) checkFence(now time.Time) {
	raised := s.pool.fence.raised(now)
	if raised && !s.packetsHeld {
		s.engine.HandleResume(now, s.output.routes.Snapshot)
	}
	s.packetsHeld = raised
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

// sweep visits up to SweepBudget records, and during a handover hands over up to
// HandOverBudget.
func (s *shard) sweep(now time.Time) {
	snapshot := s.output.routes.Snapshot
	s.output.sendRecordMessages(s.engine.Sweep(now, snapshot, SweepBudget))
	if !s.handOver.Load() {
		return
	}
	messages, done := s.engine.HandOverRecords(now, snapshot, HandOverBudget)
	s.output.sendRecordMessages(messages)
	if done {
		s.handOver.Store(false)
		s.pool.shardHandedOver()
	}
}
