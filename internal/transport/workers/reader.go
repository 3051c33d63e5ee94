package workers

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/packet"
	"github.com/guavawharf/guavawharf/internal/protocol/relaywire"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
)

// sorter collects the jobs of one batch by shard.
type sorter struct {
	pool    *Pool
	counts  *counts
	decoder *packet.Decoder
	pending [][]*Job
	dropped []*Job
}

func newSorter(p *Pool) *sorter {
	return &sorter{
		pool:    p,
		counts:  p.newCounts(),
		decoder: packet.NewDecoder(),
		pending: make([][]*Job, len(p.shards)),
	}
}

func (s *sorter) add(job *Job) {
	job.lane = s.pool.routes.Load().lane(job)
	shard := s.pool.shardOf(job.Packet.Fingerprint)
	s.pending[shard] = append(s.pending[shard], job)
}

// submit hands jobs to a shard; the ones that don't fit are dropped.
func (s *sorter) submit(to *shard, jobs []*Job) {
	dropped, start := to.queue.put(jobs, s.dropped[:0])
	s.dropped = dropped
	for _, job := range dropped {
		s.counts.event(EventQueueFull)
		s.pool.recycle(job)
	}
	if start {
		s.pool.start(to)
	}
}

// flush hands the collected jobs to their shards.
func (s *sorter) flush() {
	for i, jobs := range s.pending {
		if len(jobs) == 0 {
			continue
		}
		s.submit(s.pool.shards[i], jobs)
		s.pending[i] = jobs[:0]
	}
}

// ended tells whether reading is over. Any other error is counted and followed
// by a pause, so that one that stays does not use up the processor.
func (s *sorter) ended(err error) bool {
	if err == nil {
		return false
	}
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	s.counts.event(EventReceiveFailed)
	time.Sleep(failurePause)
	return false
}

// failurePause is the wait after a failed read.
const failurePause = time.Millisecond

// fabricReader reads callers' packets.
type fabricReader struct {
	sorter *sorter
	reader *udp.Reader[fabricSlot]
}

func newFabricReader(p *Pool) *fabricReader {
	next := func() fabricSlot { return fabricSlot{p.newJob()} }
	return &fabricReader{sorter: newSorter(p), reader: udp.NewReader(p.settings.Fabric, next)}
}

func (r *fabricReader) run() {
	for {
		err := r.reader.Read(r.handle)
		r.sorter.flush()
		if r.sorter.ended(err) {
			return
		}
	}
}

func (r *fabricReader) handle(d udp.Datagram[fabricSlot]) bool {
	c := r.sorter.counts
	c.event(EventReceived)
	if d.Truncated {
		c.event(EventTooLong)
		return false
	}
	job := d.Buffer.job
	job.Record = false
	job.size = d.Size
	if err := r.sorter.decoder.Decode(job.packet(), &job.Packet); err != nil {
		c.failure(err)
		return false
	}
	r.sorter.add(job)
	return true
}

// relayReader reads what other entry hosts send.
type relayReader struct {
	sorter *sorter
	reader *udp.Reader[relaySlot]
}

func newRelayReader(p *Pool) *relayReader {
	next := func() relaySlot { return relaySlot{p.newJob()} }
	return &relayReader{sorter: newSorter(p), reader: udp.NewReader(p.settings.Relay, next)}
}

func (r *relayReader) run() {
	for {
		err := r.reader.Read(r.handle)
		r.sorter.flush()
		if r.sorter.ended(err) {
			return
		}
	}
}

func (r *relayReader) handle(d udp.Datagram[relaySlot]) bool {
	c := r.sorter.counts
	c.event(EventRelayReceived)
	if d.Truncated {
		c.event(EventTooLong)
		return false
	}
	from, member := r.sorter.pool.routes.Load().members[d.From]
	if !member {
		c.event(EventNotMember)
		return false
	}
	job := d.Buffer.job
	if err := r.decode(job, from, d.Size); err != nil {
		c.failure(err)
		return false
	}
	r.sorter.add(job)
	return true
}

func (r *relayReader) decode(job *Job, from state.HostID, size int) error {
	header, inner, err := relaywire.Decode(job.data[:size])
	if err != nil {
		return err
	}
	job.Record = !relaywire.CarriesPacket(header.Kind)
	job.size = len(inner)
	if job.Record {
		job.Packet.Fingerprint = header.Fingerprint
		job.Packet.Relay = header
		return nil
	}
	if err := r.sorter.decoder.Decode(inner, &job.Packet); err != nil {
		return err
	}
	job.Packet.Relayed = true
	job.Packet.From = from
	job.Packet.Relay = header
	return nil
}
