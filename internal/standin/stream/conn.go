// Package stream is a small TCP endpoint for the stand-ins: a pure state
// machine with delivery in order, a fixed window, retransmission with
// exponential backoff and an orderly close. It does no I/O; time is passed in.
package stream

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/wire"
)

// State is the state of a Conn.
type State uint8

// States.
const (
	// SYNSent has sent a SYN.
	SYNSent State = iota
	// SYNReceived has answered a SYN.
	SYNReceived
	// Established carries data.
	Established
	// Closed has sent and received a FIN, both acknowledged.
	Closed
	// Refused was reset before it opened.
	Refused
	// Reset was reset after it opened.
	Reset
	// TimedOut had no acknowledgment after the last retransmission.
	TimedOut
)

// Ended tells whether the state is final.
func (s State) Ended() bool { return s >= Closed }

const (
	windowSize = 16 * wire.MaxPayload
	// initialTimeout is the first retransmission timeout.
	initialTimeout = 200 * time.Millisecond
	maxTimeout     = 3 * time.Second
	// maxAttempts is the number of timeouts in a row that ends a connection.
	maxAttempts = 9
	// fastRetransmitThreshold in a row start a retransmission before the timeout.
	fastRetransmitThreshold = 3
)

// Segment is what one TCP packet carries besides its addresses.
type Segment struct {
	Flags   wire.Flags
	Seq     uint32
	Ack     uint32
	Payload []byte
}

// Conn is one end of a connection.
type Conn struct {
	state State
	// sendUnacked is the oldest unacknowledged sequence number, sendNext the one to send.
	sendUnacked, sendNext uint32
	// buffer holds the data from una on, or from una+1 while the SYN is not
	// acknowledged.
	buffer []byte
	// sendMax is the sendMax sequence number ever sent.
	sendMax uint32
	// receiveNext is the next sequence number of the peer.
	receiveNext uint32

	// outOfOrder are segments that came before their turn, by sequence number.
	outOfOrder map[uint32]Segment

	handshakeCompleted, finQueued, finAcked, finReceived bool

	timeout    time.Duration
	deadline   time.Time
	attempts   int
	duplicateAcks int

	outgoing []Segment
	// Retransmits counts retransmission rounds.
	Retransmits int
}

// Dial returns a Conn that has a SYN to send.
func Dial(now time.Time, initial uint32) *Conn {
	c := &Conn{state: SYNSent, sendUnacked: initial, sendNext: initial, sendMax: initial, timeout: initialTimeout}
	c.sendHandshake(now, wire.SYN)
	return c
}

// Accept returns the Conn that answers a SYN.
func Accept(now time.Time, initial uint32, syn Segment) *Conn {
	c := &Conn{state: SYNReceived, sendUnacked: initial, sendNext: initial, sendMax: initial, timeout: initialTimeout}
	c.receiveNext = syn.Seq + 1
	c.sendHandshake(now, wire.SYN|wire.ACK)
	return c
}

// State returns the state.
func (c *Conn) State() State { return c.state }

// HandshakeCompleted tells whether the handshake was completed.
func (c *Conn) HandshakeCompleted() bool { return c.handshakeCompleted }

// Deadline is when Tick has something to do; zero is never.
func (c *Conn) Deadline() time.Time { return c.deadline }

// Unacknowledged tells whether something sent awaits its acknowledgment.
func (c *Conn) Unacknowledged() bool { return c.sendUnacked != c.sendMax }

// PeerClosed tells whether the peer has sent its FIN.
func (c *Conn) PeerClosed() bool { return c.finReceived }

// DrainSegments returns the segments to send. Their payloads stay valid until the next
// call of a method of the Conn.
func (c *Conn) DrainSegments() []Segment {
	taken := c.outgoing
	c.outgoing = nil
	return taken
}

// Write queues data.
func (c *Conn) Write(now time.Time, data []byte) {
	if c.finQueued || c.state.Ended() {
		return
	}
	c.buffer = append(c.buffer, data...)
	c.transmit(now)
}

// Close queues a FIN after the data.
func (c *Conn) Close(now time.Time) {
	if c.finQueued || c.state.Ended() {
		return
	}
	c.finQueued = true
	c.transmit(now)
}

// Tick retransmits what was not acknowledged in time.
func (c *Conn) Tick(now time.Time) {
	if c.deadline.IsZero() || now.Before(c.deadline) || c.state.Ended() {
		return
	}
	c.attempts++
	if c.attempts >= maxAttempts {
		c.end(TimedOut)
		return
	}
	c.timeout = min(2*c.timeout, maxTimeout)
	c.retransmit(now)
}

func (c *Conn) retransmit(now time.Time) {
	c.Retransmits++
	c.sendNext = c.sendUnacked
	c.deadline = now.Add(c.timeout)
	switch c.state {
	case SYNSent:
		c.sendHandshake(now, wire.SYN)
	case SYNReceived:
		c.sendHandshake(now, wire.SYN|wire.ACK)
	default:
		c.transmit(now)
	}
}

func (c *Conn) end(state State) {
	c.state = state
	c.deadline = time.Time{}
	c.buffer = nil
}
