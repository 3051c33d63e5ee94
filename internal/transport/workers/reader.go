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

// dispatcher groups the jobs of one batch by shard and queues them.
type dispatcher struct {
	pool    *Pool
	counts  *counts
	decoder *packet.Decoder
	batches [][]*Job
	dropped []*Job
}

func newDispatcher(p *Pool) *dispatcher {
	return &dispatcher{
		pool:    p,
		counts:  p.newCounts(),
		decoder: packet.NewDecoder(),
		batches: make([][]*Job, len(p.shards)),
	}
}

func (d *dispatcher) add(job *Job) {
	job.customerLane = d.pool.routes.Load().laneOf(job)
	shard := d.pool.shardOf(job.Packet.Fingerprint)
	d.batches[shard] = append(d.batches[shard], job)
}

// submit queues jobs for a shard. It counts and frees the jobs that a full queue drops.
func (d *dispatcher) submit(to *shard, jobs []*Job) {
	dropped, start := to.queue.enqueue(jobs, d.dropped[:0])
	d.dropped = dropped
	for _, job := range dropped {
		d.counts.addEvent(EventQueueFull)
		d.pool.freeJob(job)
	}
	if start {
		d.pool.startWorker(to)
	}
}

// flush queues the collected jobs for their shards.
func (d *dispatcher) flush() {
	for i, jobs := range d.batches {
		if len(jobs) == 0 {
			continue
		}
		d.submit(d.pool.shards[i], jobs)
		d.batches[i] = jobs[:0]
	}
}

// readingEnded reports whether the socket was closed or its read deadline has passed.
// It counts any other error and then waits readRetryDelay, so that a persistent error
// does not consume a whole core.
func (d *dispatcher) readingEnded(err error) bool {
	if err == nil {
		return false
	}
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	d.counts.addEvent(EventReceiveFailed)
	time.Sleep(readRetryDelay)
	return false
}

// readRetryDelay is the delay after a failed read.
const readRetryDelay = time.Millisecond

// fabricReader reads callers' packets from the fabric.
type fabricReader struct {
	dispatcher *dispatcher
	reader     *udp.Reader[fabricBuffer]
}

func newFabricReader(p *Pool) *fabricReader {
	next := func() fabricBuffer { return fabricBuffer{p.newJob()} }
	return &fabricReader{dispatcher: newDispatcher(p), reader: udp.NewReader(p.settings.Fabric, next)}
}

func (r *fabricReader) run() {
	for {
		err := r.reader.Read(r.handle)
		r.dispatcher.flush()
		if r.dispatcher.readingEnded(err) {
			return
		}
	}
}

func (r *fabricReader) handle(d udp.Datagram[fabricBuffer]) bool {
	c := r.dispatcher.counts
	c.addEvent(EventReceived)
	if d.Truncated {
		c.addEvent(EventTooLong)
		return false
	}
	job := d.Buffer.job
	job.IsRecord = false
	job.size = d.Size
	if err := r.dispatcher.decoder.Decode(job.packet(), &job.Packet); err != nil {
		c.addDecodeError(err)
		return false
	}
	r.dispatcher.add(job)
	return true
}

// relayReader reads relayed packets and record messages from other entry hosts.
type relayReader struct {
	dispatcher *dispatcher
	reader     *udp.Reader[relayBuffer]
}

func newRelayReader(p *Pool) *relayReader {
	next := func() relayBuffer { return relayBuffer{p.newJob()} }
	return &relayReader{dispatcher: newDispatcher(p), reader: udp.NewReader(p.settings.Relay, next)}
}

func (r *relayReader) run() {
	for {
		err := r.reader.Read(r.handle)
		r.dispatcher.flush()
		if r.dispatcher.readingEnded(err) {
			return
		}
	}
}

func (r *relayReader) handle(d udp.Datagram[relayBuffer]) bool {
	c := r.dispatcher.counts
	c.addEvent(EventRelayReceived)
	if d.Truncated {
		c.addEvent(EventTooLong)
		return false
	}
	from, member := r.dispatcher.pool.routes.Load().hostsByRelay[d.From]
	if !member {
		c.addEvent(EventNotMember)
		return false
	}
	job := d.Buffer.job
	if err := r.decode(job, from, d.Size); err != nil {
		c.addDecodeError(err)
		return false
	}
	r.dispatcher.add(job)
	return true
}

// decode decodes the datagram that was read into the job.
func (r *relayReader) decode(job *Job, from state.HostID, size int) error {
	header, inner, err := relaywire.Decode(job.data[:size])
	if err != nil {
		return err
	}
	job.IsRecord = !relaywire.CarriesPacket(header.Kind)
	job.size = len(inner)
	if job.IsRecord {
		job.Packet.Fingerprint = header.Fingerprint
		job.Packet.Relay = header
		return nil
	}
	if err := r.dispatcher.decoder.Decode(inner, &job.Packet); err != nil {
		return err
	}
	job.Packet.Relayed = true
	job.Packet.From = from
	job.Packet.Relay = header
	return nil
}
