// Package stream is a small TCP endpoint for the stand-ins: a state machine with
// in-order delivery, a fixed window, retransmission with exponential backoff, fast
// retransmit and an orderly close. It does no I/O; the caller passes the time in
// and carries the segments.
package stream

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/wire"
)

// State is the state of a Conn. It has fewer states than RFC 9293: closing is
// tracked within Established.
type State uint8

// States.
const (
	// SYNSent: a SYN was sent and not yet answered.
	SYNSent State = iota
	// SYNReceived: a SYN-ACK was sent and not yet acknowledged.
	SYNReceived
	// Established: the handshake is complete; data and FINs are exchanged.
	Established
	// Closed: both ends sent a FIN; the own FIN was acknowledged and the peer's FIN
	// was answered with an ACK.
	Closed
	// Refused: a reset arrived in SYNSent.
	Refused
	// Reset: a reset arrived in SYNReceived or Established.
	Reset
	// TimedOut: no acknowledgment came after the last retransmission.
	TimedOut
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Closed }

const (
	// windowSize is the send and the receive window in bytes.
	windowSize = 16 * wire.MaxPayload
	// initialTimeout is the retransmission timeout before backoff.
	initialTimeout = 200 * time.Millisecond
	maxTimeout     = 3 * time.Second
	// maxAttempts is the number of consecutive timeouts that ends a connection; the
	// last of them sends nothing.
	maxAttempts = 9
	// fastRetransmitThreshold is the number of duplicate ACKs after which the
	// first unacknowledged segment is sent again before the timeout.
	fastRetransmitThreshold = 3
)

// Segment is a TCP segment without its ports.
type Segment struct {
	Flags   wire.Flags
	Seq     uint32
	Ack     uint32
	Payload []byte
}

// Conn is one end of a TCP connection. It is not safe for concurrent use.
type Conn struct {
	state State
	// sendUnacked is the oldest unacknowledged sequence number, sendNext the next
	// one to send.
	sendUnacked, sendNext uint32
	// buffer holds the unacknowledged and unsent data, starting at sendUnacked, or
	// at sendUnacked+1 while the SYN is not acknowledged.
	buffer []byte
	// sendMax is one past the highest sequence number sent; sendNext falls behind it
	// on a retransmission.
	sendMax uint32
	// receiveNext is the next sequence number expected from the peer.
	receiveNext uint32

	// outOfOrder holds segments received ahead of receiveNext, by sequence number.
	outOfOrder map[uint32]Segment

	handshakeCompleted, finQueued, finAcked, finReceived bool

	timeout       time.Duration
	deadline      time.Time
	attempts      int
	duplicateAcks int

	outgoing []Segment
	// Retransmits counts timeouts that sent again and fast retransmits.
	Retransmits int
}

// Dial returns a client Conn with a SYN queued. initial is its initial sequence
// number.
func Dial(now time.Time, initial uint32) *Conn {
	c := &Conn{state: SYNSent, sendUnacked: initial, sendNext: initial, sendMax: initial, timeout: initialTimeout}
	c.sendHandshake(now, wire.SYN)
	return c
}

// Accept returns the server Conn for a received SYN, with a SYN-ACK queued. initial
// is its initial sequence number.
func Accept(now time.Time, initial uint32, syn Segment) *Conn {
	c := &Conn{state: SYNReceived, sendUnacked: initial, sendNext: initial, sendMax: initial, timeout: initialTimeout}
	c.receiveNext = syn.Seq + 1
	c.sendHandshake(now, wire.SYN|wire.ACK)
	return c
}

func (c *Conn) State() State { return c.state }

// HandshakeCompleted reports whether the connection was ever established; it stays
// true once the connection has ended.
func (c *Conn) HandshakeCompleted() bool { return c.handshakeCompleted }

// Deadline returns when the retransmission timer expires, or zero if it is not
// running.
func (c *Conn) Deadline() time.Time { return c.deadline }

// Unacknowledged reports whether anything sent is not yet acknowledged.
func (c *Conn) Unacknowledged() bool { return c.sendUnacked != c.sendMax }

// PeerClosed reports whether the peer's FIN was received in order.
func (c *Conn) PeerClosed() bool { return c.finReceived }

// DrainSegments returns the queued segments and empties the queue. Their payloads
// stay valid until the next call of a method of the Conn.
func (c *Conn) DrainSegments() []Segment {
	taken := c.outgoing
	c.outgoing = nil
	return taken
}

// Write queues data and sends what the window allows. It does nothing after Close
// or once the connection has ended.
func (c *Conn) Write(now time.Time, data []byte) {
	if c.finQueued || c.state.Ended() {
		return
	}
	c.buffer = append(c.buffer, data...)
	c.transmit(now)
}

// Close queues a FIN after the queued data.
func (c *Conn) Close(now time.Time) {
	if c.finQueued || c.state.Ended() {
		return
	}
	c.finQueued = true
	c.transmit(now)
}

// Tick handles an expired retransmission timer: it doubles the timeout up to
// maxTimeout and retransmits, or ends the connection after maxAttempts timeouts.
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

// retransmit sends again everything that is not acknowledged, within the window.
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
