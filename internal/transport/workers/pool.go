package workers

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
)

// Limits.
const (
	// BatchSize is the largest number of jobs that a worker dequeues at once.
	BatchSize = udp.BatchSize
	// DefaultQueueLength is the largest number of packets queued for one shard.
	DefaultQueueLength = 4096
	// SweepInterval is the time between two sweeps of a shard's records.
	SweepInterval = 10 * time.Millisecond
	// IdleSweepInterval is the time between two sweeps while no shard holds more
	// than IdleRecords. At this interval all of them are still visited within a second.
	IdleSweepInterval = 50 * time.Millisecond
	// IdleRecords is the number of records of a shard above which all shards are
	// swept every SweepInterval.
	IdleRecords = 16 * SweepBudget
	// SweepBudget is the number of records that one sweep visits.
	SweepBudget = 512
	// HandOverBudget is the number of records handed over with each sweep. It keeps
	// the burst of record messages within a receiver's socket buffer.
	HandOverBudget = 128
	// DrainTime is how long a closing pool reads datagrams that have already arrived.
	DrainTime = 50 * time.Millisecond

	// workerStopTimeout bounds how long a closing pool waits for its workers.
	workerStopTimeout = 2 * time.Second
)

// Engine decides on the packets of one shard; *traffic.Engine implements it.
type Engine interface {
	Handle(now time.Time, snap *state.Snapshot, p *traffic.Packet) traffic.Decision
	HandleRecord(now time.Time, snap *state.Snapshot, h relay.Header)
	Sweep(now time.Time, snap *state.Snapshot, budget int) []traffic.RecordMessage
	HandOverRecords(now time.Time, snap *state.Snapshot, budget int) (messages []traffic.RecordMessage, done bool)
	HandleResume(now time.Time, snap *state.Snapshot)
	Len() int
}

// Settings configure a Pool.
type Settings struct {
	// Fabric is the socket that receives callers' packets and sends to targets and
	// callers.
	Fabric *udp.Socket
	// Relay is the socket for datagrams from and to other entry hosts.
	Relay *udp.Socket
	// Return is the address that packets to callers are sent to.
	Return netip.AddrPort
	// Engines has one engine for each shard.
	Engines []Engine
	// QueueLength bounds the queue of one shard; 0 means DefaultQueueLength.
	QueueLength int
	// RecordsHandedOver, unless nil, is called once after HandOverRecords has handed
	// over all records.
	RecordsHandedOver func()
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
}

// Pool runs the packet path: the readers of the sockets and the workers of the shards.
type Pool struct {
	settings Settings
	routes   atomic.Pointer[Routes]
	shards   []*shard
	counts   []*counts
	fabric   *fabricReader
	relay    *relayReader
	workers  *ants.Pool
	// launch runs a shard on a worker.
	launch       func(work func()) error
	jobs         sync.Pool
	handOverOnce sync.Once
	// shardsHandingOver is the number of shards that still hand records over.
	shardsHandingOver atomic.Int64
	// refused holds an *atomic.Int64 for each service number.
	refused sync.Map
	readers sync.WaitGroup
	stop    chan struct{}
	fence   *fence
}

// New returns a pool that is not started. Its snapshot is empty, so it drops packets
// until the first Publish.
func New(settings Settings) (*Pool, error) {
	if settings.QueueLength == 0 {
		settings.QueueLength = DefaultQueueLength
	}
	if settings.Now == nil {
		settings.Now = time.Now
	}
	// Two workers per shard: one that is about to end still counts as running.
	size := 2 * len(settings.Engines)
	workers, err := ants.NewPool(size, ants.WithPanicHandler(func(v any) { panic(v) }))
	if err != nil {
		return nil, oops.Code("worker_pool").Wrap(err)
	}
	p := &Pool{settings: settings, workers: workers, launch: workers.Submit, stop: make(chan struct{})}
	p.fence = newFence(settings.Now())
	p.jobs.New = func() any { return new(Job) }
	p.routes.Store(new(Routes).next(&state.Snapshot{}))
	for _, engine := range settings.Engines {
		s, err := newShard(p, engine)
		if err != nil {
			p.closeSockets()
			return nil, err
		}
		p.shards = append(p.shards, s)
	}
	p.fabric = newFabricReader(p)
	p.relay = newRelayReader(p)
	return p, nil
}

// newCounts returns counters that Counters includes in its sums.
func (p *Pool) newCounts() *counts {
	c := new(counts)
	p.counts = append(p.counts, c)
	return c
}

// Start starts the readers and the sweeps.
func (p *Pool) Start() {
	p.readers.Go(p.fabric.run)
	p.readers.Go(p.relay.run)
	p.readers.Go(p.runSweeps)
}

// Publish makes workers use the snapshot from their next batch on. It must not be
// called concurrently.
func (p *Pool) Publish(snapshot *state.Snapshot) {
	p.routes.Store(p.routes.Load().next(snapshot))
}

// Resume stops withholding packets after a pause of this process, if the pause was
// noticed before the given time. The snapshot must be known to be current at that time.
func (p *Pool) Resume(at time.Time) { p.fence.lower(at) }

// HandOverRecords starts to hand all records over to other hosts;
// Settings.RecordsHandedOver is called at the end. Further calls have no effect.
func (p *Pool) HandOverRecords() {
	p.handOverOnce.Do(func() {
		p.shardsHandingOver.Store(int64(len(p.shards)))
		for _, s := range p.shards {
			s.handOver.Store(true)
		}
	})
}

// shardHandedOver calls Settings.RecordsHandedOver once the last shard is done.
func (p *Pool) shardHandedOver() {
	if p.shardsHandingOver.Add(-1) == 0 && p.settings.RecordsHandedOver != nil {
		p.settings.RecordsHandedOver()
	}
}

// Flows returns the number of flow records held.
func (p *Pool) Flows() int {
	total := 0
	for _, s := range p.shards {
		total += int(s.recordCount.Load())
	}
	return total
}

// Close reads for another DrainTime the datagrams that have arrived, waits up to
// workerStopTimeout for the workers to empty their queues, and closes the sockets.
func (p *Pool) Close() {
	deadline := p.settings.Now().Add(DrainTime)
	_ = p.settings.Fabric.SetReadDeadline(deadline)
	_ = p.settings.Relay.SetReadDeadline(deadline)
	close(p.stop)
	p.readers.Wait()
	_ = p.workers.ReleaseTimeout(workerStopTimeout)
	p.closeSockets()
}

func (p *Pool) closeSockets() {
	_ = p.settings.Fabric.Close()
	_ = p.settings.Relay.Close()
	for _, s := range p.shards {
		s.output.close()
	}
}

// runSweeps requests a sweep of every shard at each interval and ticks the fence.
func (p *Pool) runSweeps() {
	timer := time.NewTimer(SweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-timer.C:
		}
		p.fence.tick(p.settings.Now())
		timer.Reset(p.sweepInterval())
		for _, s := range p.shards {
			if s.queue.requestSweep() {
				p.startWorker(s)
			}
		}
	}
}

// sweepInterval returns the time to the next sweep of all shards.
func (p *Pool) sweepInterval() time.Duration {
	for _, s := range p.shards {
		if s.handOver.Load() || s.recordCount.Load() > IdleRecords {
			return SweepInterval
		}
	}
	return IdleSweepInterval
}

// startWorker runs the shard on a worker. This fails only once the pool is closed.
func (p *Pool) startWorker(s *shard) {
	_ = p.launch(s.runFunc)
}

func (p *Pool) shardOf(fingerprint state.Fingerprint) int {
	return int(fingerprint.High % uint64(len(p.shards)))
}

func (p *Pool) newJob() *Job {
	return p.jobs.Get().(*Job)
}

func (p *Pool) freeJob(job *Job) {
	p.jobs.Put(job)
}
