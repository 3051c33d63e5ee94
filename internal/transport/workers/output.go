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

// output sends the packets and record messages that one shard decides on.
type output struct {
	counts        *counts
	routes        *Routes
	returnAddress netip.AddrPort
	fabric        *udp.Writer
	relays        *udp.Writer
	answerer      *packet.ReplyBuilder
	// sockets are this shard's own clones of the pool's sockets.
	sockets [2]*udp.Socket
	// builtPackets holds the bytes of answers and record messages until flush.
	builtPackets []byte
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
		counts:        p.newCounts(),
		returnAddress: p.settings.Return,
		fabric:        udp.NewWriter(fabric),
		relays:        udp.NewWriter(relays),
		answerer:      packet.NewReplyBuilder(),
		sockets:       [2]*udp.Socket{fabric, relays},
	}, nil
}

func (o *output) close() {
	for _, socket := range o.sockets {
		_ = socket.Close()
	}
}

func (o *output) forward(job *Job, target netip.AddrPort) {
	o.counts.addEvent(EventForwarded)
	o.counts.events[EventForwardedBytes].Add(int64(job.size))
	o.fabric.Add(job.packet(), target)
}

func (o *output) relay(job *Job, to state.HostID, header relay.Header) {
	address, ok := o.routes.relayAddresses[to]
	if !ok {
		o.counts.addEvent(EventUnknownHost)
		return
	}
	o.counts.addEvent(EventRelayed)
	datagram := job.datagram()
	relaywire.Put(datagram, header)
	o.relays.Add(datagram, address)
}

func (o *output) sendRecordMessages(messages []traffic.RecordMessage) {
	for _, message := range messages {
		address, ok := o.routes.relayAddresses[message.To]
		if !ok {
			o.counts.addEvent(EventUnknownHost)
			continue
		}
		o.counts.addEvent(EventRecordMessages)
		start := len(o.builtPackets)
		o.builtPackets = relaywire.Append(o.builtPackets, message.Header, nil)
		o.relays.Add(o.builtPackets[start:], address)
	}
}

func (o *output) refuse(job *Job, retryAfter time.Duration) {
	answer, err := o.answerer.BuildRefusal(job.packet(), retryAfter)
	o.sendAnswer(answer, err, EventRefused)
}

func (o *output) reset(job *Job) {
	answer, err := o.answerer.BuildReset(job.packet())
	o.sendAnswer(answer, err, EventReset)
}

// sendAnswer sends a refusal or reset to the caller, or counts the error that
// prevented building it.
func (o *output) sendAnswer(answer []byte, err error, event Event) {
	if err != nil {
		o.counts.addEvent(EventAnswerNotBuilt)
		return
	}
	o.counts.addEvent(event)
	start := len(o.builtPackets)
	o.builtPackets = append(o.builtPackets, answer...)
	o.fabric.Add(o.builtPackets[start:], o.returnAddress)
}

// flush sends the queued datagrams and counts those that could not be sent.
func (o *output) flush() {
	failed := o.fabric.Flush() + o.relays.Flush()
	o.counts.events[EventSendFailed].Add(int64(failed))
	o.builtPackets = o.builtPackets[:0]
}
