package stream

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/wire"
)

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

// transmit sends what the window allows from next on.
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

// retransmitFirst repeats the oldest unacknowledged segment.
func (c *Conn) retransmitFirst(now time.Time) {
	c.Retransmits++
	c.deadline = now.Add(c.timeout)
	end := min(wire.MaxPayload, len(c.buffer), int(c.sendNext-c.sendUnacked))
	if end > 0 {
		c.enqueue(wire.ACK|wire.PSH, c.sendUnacked, c.buffer[:end])
	}
}

// advanceNext moves next and starts the retransmission timer.
func (c *Conn) advanceNext(now time.Time, next uint32) {
	c.sendNext = next
	if sequenceBefore(c.sendMax, next) {
		c.sendMax = next
	}
	if c.deadline.IsZero() {
		c.deadline = now.Add(c.timeout)
	}
}

// sequenceBefore compares sequence numbers.
func sequenceBefore(a, b uint32) bool { return int32(a-b) < 0 }
