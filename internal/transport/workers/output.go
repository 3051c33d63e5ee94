package workers

import (
	"errors"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/protocol/packet"
	"github.com/guavawharf/guavawharf/internal/protocol/relaywire"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
)

// output sends what one shard decides.
type output struct {
	counts   *counts
	routes   *Routes
	back     netip.AddrPort
	fabric   *udp.Writer
	relays   *udp.Writer
	answerer *packet.ReplyBuilder
	// sockets are this shard's own handles of the pool's sockets.
	sockets [2]*udp.Socket
	// built holds the bytes of answers and record messages until the flush.
	built []byte
}

func newOutput(p *Pool) (*output, error) {
	fabric, err := p.settings.Fabric.Clone()
	if err != nil {
		return nil, err
	}
	relays, err := p.settings.Relay.Clone()
	if err != nil {
		return nil, errors.Join(err, fabric.Close())
	}
	return &output{
		counts:   p.newCounts(),
		back:     p.settings.Return,
		fabric:   udp.NewWriter(fabric),
		relays:   udp.NewWriter(relays),
		answerer: packet.NewReplyBuilder(),
		sockets:  [2]*udp.Socket{fabric, relays},
	}, nil
}

func (o *output) close() {
	for _, socket := range o.sockets {
		_ = socket.Close()
	}
}

func (o *output) forward(job *Job, target netip.AddrPort) {
	o.counts.event(EventForwarded)
	o.counts.events[EventForwardedBytes].Add(int64(job.size))
	o.fabric.Add(job.packet(), target)
}

func (o *output) relay(job *Job, to state.HostID, header relay.Header) {
	address, ok := o.routes.relays[to]
	if !ok {
		o.counts.event(EventUnknownHost)
		return
	}
	o.counts.event(EventRelayed)
	datagram := job.withHeader()
	relaywire.Put(datagram, header)
	o.relays.Add(datagram, address)
}

func (o *output) notices(notices []traffic.RecordMessage) {
	for _, notice := range notices {
		address, ok := o.routes.relays[notice.To]
		if !ok {
			o.counts.event(EventUnknownHost)
			continue
		}
		o.counts.event(EventNotices)
		start := len(o.built)
		o.built = relaywire.Append(o.built, notice.Header, nil)
		o.relays.Add(o.built[start:], address)
	}
}

func (o *output) refuse(job *Job, retryAfter time.Duration) {
	answer, err := o.answerer.BuildRefusal(job.packet(), retryAfter)
	o.answer(answer, err, EventRefused)
}

func (o *output) reset(job *Job) {
	answer, err := o.answerer.BuildReset(job.packet())
	o.answer(answer, err, EventReset)
}

// answer sends a built packet to its caller.
func (o *output) answer(answer []byte, err error, event Event) {
	if err != nil {
		o.counts.event(EventUnanswerable)
		return
	}
	o.counts.event(event)
	start := len(o.built)
	o.built = append(o.built, answer...)
	o.fabric.Add(o.built[start:], o.back)
}

func (o *output) flush() {
	failed := o.fabric.Flush() + o.relays.Flush()
	o.counts.events[EventSendFailed].Add(int64(failed))
	o.built = o.built[:0]
}
