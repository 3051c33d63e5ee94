package stream

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/wire"
)

// Receive takes a segment of the peer and returns the new data in order.
func (c *Conn) Receive(now time.Time, s Segment) []byte {
	switch {
	case c.state.Ended():
		c.receiveEnded(s)
		return nil
	case s.Flags.Has(wire.RST):
		c.receiveReset(s)
		return nil
	case c.state == SYNSent:
		return c.receiveOpening(now, s)
	case s.Flags.Has(wire.SYN):
		c.receiveAgain(now)
		return nil
	}
	if s.Flags.Has(wire.ACK) {
		c.receiveAck(now, s)
	}
	if c.state.Ended() {
		return nil
	}
	return c.receiveData(s)
}

// receiveEnded answers a retransmitted FIN, whose acknowledgment was lost.
func (c *Conn) receiveEnded(s Segment) {
	if c.state == Closed && s.Flags.Has(wire.FIN) {
		c.acknowledge()
	}
}

func (c *Conn) receiveReset(s Segment) {
	if c.state == SYNSent {
		if s.Ack == c.highest {
			c.end(Refused)
		}
		return
	}
	if !before(s.Seq, c.expected) && before(s.Seq, c.expected+window) {
		c.end(Reset)
	}
}

func (c *Conn) receiveOpening(now time.Time, s Segment) []byte {
	if !s.Flags.Has(wire.SYN|wire.ACK) || s.Ack != c.una+1 {
		return nil
	}
	c.expected = s.Seq + 1
	c.establish(now)
	c.acknowledge()
	c.transmit(now)
	return nil
}

func (c *Conn) establish(now time.Time) {
	c.state = Established
	c.opened = true
	c.una++
	c.next = c.una
	c.progress(now)
}

// receiveAgain answers a repeated SYN or SYN-ACK.
func (c *Conn) receiveAgain(now time.Time) {
	if c.state == SYNReceived {
		c.sendHandshake(now, wire.SYN|wire.ACK)
		return
	}
	c.acknowledge()
}

func (c *Conn) receiveAck(now time.Time, s Segment) {
	if c.state == SYNReceived {
		if s.Ack != c.una+1 {
			return
		}
		c.establish(now)
	}
	switch {
	case before(c.una, s.Ack) && !before(c.highest, s.Ack):
		c.acked(now, s.Ack)
	case s.Ack == c.una && len(s.Payload) == 0 && c.una != c.highest && !s.Flags.Has(wire.FIN):
		c.duplicate(now)
	}
	c.transmit(now)
}

func (c *Conn) acked(now time.Time, ack uint32) {
	count := int(ack - c.una)
	if count > len(c.buffer) {
		c.finAcked = true
		count = len(c.buffer)
	}
	c.buffer = c.buffer[count:]
	c.una = ack
	if before(c.next, ack) {
		c.next = ack
	}
	c.progress(now)
	c.closeIfDone()
}

// progress restarts the retransmission timer after an acknowledgment.
func (c *Conn) progress(now time.Time) {
	c.attempts = 0
	c.duplicates = 0
	c.timeout = initialTimeout
	c.deadline = time.Time{}
	if c.una != c.next {
		c.deadline = now.Add(c.timeout)
	}
}

func (c *Conn) duplicate(now time.Time) {
	c.duplicates++
	if c.duplicates == duplicateAcks {
		c.resendFirst(now)
	}
}

// receiveData returns the data that is next in order and holds back what comes
// before its turn.
func (c *Conn) receiveData(s Segment) []byte {
	if len(s.Payload) == 0 && !s.Flags.Has(wire.FIN) {
		return nil
	}
	if c.state != Established || c.finReceived || before(s.Seq, c.expected) {
		c.acknowledge()
		return nil
	}
	if s.Seq != c.expected {
		c.hold(s)
		c.acknowledge()
		return nil
	}
	data := c.deliver(nil, s)
	for !c.finReceived {
		next, ok := c.held[c.expected]
		if !ok {
			break
		}
		delete(c.held, c.expected)
		data = c.deliver(data, next)
	}
	c.acknowledge()
	c.closeIfDone()
	return data
}

// hold keeps a copy of a segment within the window.
func (c *Conn) hold(s Segment) {
	if !before(s.Seq, c.expected+window) {
		return
	}
	if c.held == nil {
		c.held = make(map[uint32]Segment)
	}
	s.Payload = append([]byte(nil), s.Payload...)
	c.held[s.Seq] = s
}

func (c *Conn) deliver(data []byte, s Segment) []byte {
	c.expected += uint32(len(s.Payload))
	if s.Flags.Has(wire.FIN) {
		c.expected++
		c.finReceived = true
		c.held = nil
	}
	return append(data, s.Payload...)
}

func (c *Conn) closeIfDone() {
	if c.finAcked && c.finReceived {
		c.end(Closed)
	}
}
