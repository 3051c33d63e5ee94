package stream

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/wire"
)

// enqueue appends a segment to the queue that DrainSegments empties.
func (c *Conn) enqueue(flags wire.Flags, seq uint32, payload []byte) {
	segment := Segment{Flags: flags, Seq: seq, Payload: payload}
	if flags.Has(wire.ACK) {
		segment.Ack = c.receiveNext
	}
	c.outgoing = append(c.outgoing, segment)
}

func (c *Conn) sendAck() { c.enqueue(wire.ACK, c.sendNext, nil) }

func (c *Conn) sendHandshake(now time.Time, flags wire.Flags) {
	c.enqueue(flags, c.sendUnacked, nil)
	c.advanceNext(now, c.sendUnacked+1)
}

// transmit sends buffered data from sendNext on as far as the window allows, and
// then the FIN if Close was called.
func (c *Conn) transmit(now time.Time) {
	if c.state != Established {
		return
	}
	for {
		sent := int(c.sendNext - c.sendUnacked)
		if sent >= len(c.buffer) || sent >= windowSize {
			break
		}
		end := min(sent+wire.MaxPayload, len(c.buffer), windowSize)
		c.enqueue(wire.ACK|wire.PSH, c.sendNext, c.buffer[sent:end])
		c.advanceNext(now, c.sendNext+uint32(end-sent))
	}
	if c.finQueued && !c.finAcked && int(c.sendNext-c.sendUnacked) == len(c.buffer) {
		c.enqueue(wire.FIN|wire.ACK, c.sendNext, nil)
		c.advanceNext(now, c.sendNext+1)
	}
}

// retransmitFirst sends up to one segment of the oldest unacknowledged data.
func (c *Conn) retransmitFirst(now time.Time) {
	c.Retransmits++
	c.deadline = now.Add(c.timeout)
	end := min(wire.MaxPayload, len(c.buffer), int(c.sendNext-c.sendUnacked))
	if end > 0 {
		c.enqueue(wire.ACK|wire.PSH, c.sendUnacked, c.buffer[:end])
	}
}

// advanceNext sets sendNext and starts the retransmission timer if it is not
// running.
func (c *Conn) advanceNext(now time.Time, next uint32) {
	c.sendNext = next
	if sequenceBefore(c.sendMax, next) {
		c.sendMax = next
	}
	if c.deadline.IsZero() {
		c.deadline = now.Add(c.timeout)
	}
}

// sequenceBefore reports whether sequence number a precedes b, modulo 2^32.
func sequenceBefore(a, b uint32) bool { return int32(a-b) < 0 }
