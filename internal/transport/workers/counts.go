package workers

import (
	"sync/atomic"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/protocol/packet"
	"github.com/guavawharf/guavawharf/internal/protocol/relaywire"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Event is a counted event of the packet path other than a reason of package traffic.
type Event uint8

// Events.
const (
	// EventReceived counts datagrams from the fabric.
	EventReceived Event = iota
	// EventRelayReceived counts datagrams from other entry hosts.
	EventRelayReceived
	// EventForwarded counts packets sent to targets.
	EventForwarded
	// EventForwardedBytes counts the bytes of those packets.
	EventForwardedBytes
	// EventRelayed counts packets sent to other entry hosts.
	EventRelayed
	// EventRefused counts refusals sent to callers.
	EventRefused
	// EventReset counts resets sent to callers.
	EventReset
	// EventDropped counts packets dropped by a decision of package traffic.
	EventDropped
	// EventRecordMessages counts record messages sent to other entry hosts.
	EventRecordMessages
	// EventQueueFull counts packets dropped because a queue was full.
	EventQueueFull
	// EventNotMember counts relayed datagrams dropped because their sender is
	// not a member.
	EventNotMember
	// EventUnknownHost counts datagrams not sent because their host is not in the view.
	EventUnknownHost
	// EventTooLong counts datagrams longer than MaxPacketSize.
	EventTooLong
	// EventReceiveFailed counts failed reads of a socket.
	EventReceiveFailed
	// EventSendFailed counts datagrams that could not be sent.
	EventSendFailed
	// EventAnswerNotBuilt counts refusals and resets that could not be built.
	EventAnswerNotBuilt
	// EventHeldAfterPause counts packets withheld from targets and callers because this
	// process was paused and may not know the current release.
	EventHeldAfterPause

	eventCount
)

var eventNames = [eventCount]string{
	EventReceived:       "received",
	EventRelayReceived:  "relay_received",
	EventForwarded:      "forwarded",
	EventForwardedBytes: "forwarded_bytes",
	EventRelayed:        "relayed",
	EventRefused:        "refused",
	EventReset:          "reset",
	EventDropped:        "dropped",
	EventRecordMessages: "record_messages_sent",
	EventQueueFull:      "queue_full",
	EventNotMember:      "relay_not_a_member",
	EventUnknownHost:    "relay_unknown_host",
	EventTooLong:        "packet_too_long",
	EventReceiveFailed:  "receive_failed",
	EventSendFailed:     "send_failed",
	EventAnswerNotBuilt: "answer_not_built",
	EventHeldAfterPause: "held_after_pause",
}

// maxErrorValues bounds the number of distinct errors of one decoding package.
const maxErrorValues = 16

// counts are the counters of one reader or worker.
type counts struct {
	events       [eventCount]atomic.Int64
	reasons      [256]atomic.Int64
	packetErrors [maxErrorValues]atomic.Int64
	relayErrors  [maxErrorValues]atomic.Int64
}

func (c *counts) addEvent(event Event) { c.events[event].Add(1) }

func (c *counts) addReason(reason traffic.Reason) { c.reasons[reason].Add(1) }

// addDecodeError counts an error of package packet or relaywire.
func (c *counts) addDecodeError(err error) {
	switch e := err.(type) {
	case packet.Error:
		c.packetErrors[e].Add(1)
	case relaywire.Error:
		c.relayErrors[e].Add(1)
	}
}

// Counter is one named counter.
type Counter struct {
	Name  string
	Value int64
}

// Counters returns all counters of the packet path: its events, one counter for each
// reason of package traffic and each decoding error, and the kernel's drops.
func (p *Pool) Counters() []Counter {
	var counters []Counter
	for event := range eventCount {
		value := p.sum(func(c *counts) int64 { return c.events[event].Load() })
		counters = append(counters, Counter{eventNames[event], value})
	}
	for _, reason := range traffic.AllReasons() {
		value := p.sum(func(c *counts) int64 { return c.reasons[reason].Load() })
		counters = append(counters, Counter{"reason_" + reason.String(), value})
	}
	for _, err := range packet.Errors() {
		value := p.sum(func(c *counts) int64 { return c.packetErrors[err].Load() })
		counters = append(counters, Counter{err.Error(), value})
	}
	for _, err := range relaywire.Errors() {
		value := p.sum(func(c *counts) int64 { return c.relayErrors[err].Load() })
		counters = append(counters, Counter{err.Error(), value})
	}
	return append(counters, p.kernelDrops()...)
}

// kernelDrops returns the numbers of datagrams that the kernel dropped because a
// receive buffer was full. It omits a counter that can't be read.
func (p *Pool) kernelDrops() []Counter {
	var counters []Counter
	if dropped, err := p.settings.Fabric.Dropped(); err == nil {
		counters = append(counters, Counter{"fabric_buffer_full", dropped})
	}
	if dropped, err := p.settings.Relay.Dropped(); err == nil {
		counters = append(counters, Counter{"relay_buffer_full", dropped})
	}
	return counters
}

func (p *Pool) sum(value func(*counts) int64) int64 {
	var total int64
	for _, c := range p.counts {
		total += value(c)
	}
	return total
}

// Refused returns the number of refused openings of a service.
func (p *Pool) Refused(service state.ServiceNumber) int64 {
	count, ok := p.refused.Load(service)
	if !ok {
		return 0
	}
	return count.(*atomic.Int64).Load()
}

// countRefused counts a refused opening of the service that the key addresses.
func (p *Pool) countRefused(snapshot *state.Snapshot, key state.FlowKey) {
	address := state.ServiceAddress{Protocol: key.Protocol, Address: key.Service}
	service := snapshot.Services[address]
	if service == nil {
		return
	}
	count, ok := p.refused.Load(service.Number)
	if !ok {
		count, _ = p.refused.LoadOrStore(service.Number, new(atomic.Int64))
	}
	count.(*atomic.Int64).Add(1)
}
