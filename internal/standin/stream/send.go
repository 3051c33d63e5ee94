package stream

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/wire"
)

func (c *Conn) emit(flags wire.Flags, seq uint32, payload []byte) {
	segment := Segment{Flags: flags, Seq: seq, Payload: payload}
	if flags.Has(wire.ACK) {
		segment.Ack = c.expected
	}
	c.outgoing = append(c.outgoing, segment)
}

func (c *Conn) acknowledge() { c.emit(wire.ACK, c.next, nil) }

func (c *Conn) sendHandshake(now time.Time, flags wire.Flags) {
	c.emit(flags, c.una, nil)
	c.advance(now, c.una+1)
}

// transmit sends what the window allows from next on.
func (c *Conn) transmit(now time.Time) {
	if c.state != Established {
		return
	}
	for {
		sent := int(c.next - c.una)
		if sent >= len(c.buffer) || sent >= window {
			break
		}
		end := min(sent+wire.MaxPayload, len(c.buffer), window)
		c.emit(wire.ACK|wire.PSH, c.next, c.buffer[sent:end])
		c.advance(now, c.next+uint32(end-sent))
	}
	if c.finQueued && !c.finAcked && int(c.next-c.una) == len(c.buffer) {
		c.emit(wire.FIN|wire.ACK, c.next, nil)
		c.advance(now, c.next+1)
	}
}

// resendFirst repeats the oldest unacknowledged segment.
func (c *Conn) resendFirst(now time.Time) {
	c.Retransmits++
	c.deadline = now.Add(c.timeout)
	end := min(wire.MaxPayload, len(c.buffer), int(c.next-c.una))
	if end > 0 {
		c.emit(wire.ACK|wire.PSH, c.una, c.buffer[:end])
	}
}

// advance moves next and starts the retransmission timer.
func (c *Conn) advance(now time.Time, next uint32) {
	c.next = next
	if before(c.highest, next) {
		c.highest = next
	}
	if c.deadline.IsZero() {
		c.deadline = now.Add(c.timeout)
	}
}

// before compares sequence numbers.
func before(a, b uint32) bool { return int32(a-b) < 0 }
