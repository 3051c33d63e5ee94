package stream

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/wire"
)

// Receive handles a segment from the peer and returns the data that became
// available in order.
func (c *Conn) Receive(now time.Time, s Segment) []byte {
	switch {
	case c.state.Ended():
		c.receiveEnded(s)
		return nil
	case s.Flags.Has(wire.RST):
		c.receiveReset(s)
		return nil
	case c.state == SYNSent:
		return c.receiveSYNACK(now, s)
	case s.Flags.Has(wire.SYN):
		c.receiveDuplicateSYN(now)
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

// receiveEnded acknowledges a retransmitted FIN, since its first ACK was lost.
func (c *Conn) receiveEnded(s Segment) {
	if c.state == Closed && s.Flags.Has(wire.FIN) {
		c.sendAck()
	}
}

// receiveReset accepts a reset only if it acknowledges the SYN or, after that, if
// its sequence number lies within the receive window.
func (c *Conn) receiveReset(s Segment) {
	if c.state == SYNSent {
		if s.Ack == c.sendMax {
			c.end(Refused)
		}
		return
	}
	if !sequenceBefore(s.Seq, c.receiveNext) && sequenceBefore(s.Seq, c.receiveNext+windowSize) {
		c.end(Reset)
	}
}

func (c *Conn) receiveSYNACK(now time.Time, s Segment) []byte {
	if !s.Flags.Has(wire.SYN|wire.ACK) || s.Ack != c.sendUnacked+1 {
		return nil
	}
	c.receiveNext = s.Seq + 1
	c.establish(now)
	c.sendAck()
	c.transmit(now)
	return nil
}

func (c *Conn) establish(now time.Time) {
	c.state = Established
	c.handshakeCompleted = true
	c.sendUnacked++
	c.sendNext = c.sendUnacked
	c.restartTimer(now)
}

// receiveDuplicateSYN answers a retransmitted SYN with the SYN-ACK, and one that
// arrives after the handshake with an ACK.
func (c *Conn) receiveDuplicateSYN(now time.Time) {
	if c.state == SYNReceived {
		c.sendHandshake(now, wire.SYN|wire.ACK)
		return
	}
	c.sendAck()
}

func (c *Conn) receiveAck(now time.Time, s Segment) {
	if c.state == SYNReceived {
		if s.Ack != c.sendUnacked+1 {
			return
		}
		c.establish(now)
	}
	switch {
	case sequenceBefore(c.sendUnacked, s.Ack) && !sequenceBefore(c.sendMax, s.Ack):
		c.advanceUnacked(now, s.Ack)
	case s.Ack == c.sendUnacked && len(s.Payload) == 0 && c.sendUnacked != c.sendMax && !s.Flags.Has(wire.FIN):
		c.countDuplicateAck(now)
	}
	c.transmit(now)
}

// advanceUnacked drops the acknowledged data from the send buffer. An ACK beyond
// the data acknowledges the FIN.
func (c *Conn) advanceUnacked(now time.Time, ack uint32) {
	count := int(ack - c.sendUnacked)
	if count > len(c.buffer) {
		c.finAcked = true
		count = len(c.buffer)
	}
	c.buffer = c.buffer[count:]
	c.sendUnacked = ack
	if sequenceBefore(c.sendNext, ack) {
		c.sendNext = ack
	}
	c.restartTimer(now)
	c.closeIfDone()
}

// restartTimer resets the backoff after an acknowledgment of new data, and runs the
// retransmission timer while anything is unacknowledged.
func (c *Conn) restartTimer(now time.Time) {
	c.attempts = 0
	c.duplicateAcks = 0
	c.timeout = initialTimeout
	c.deadline = time.Time{}
	if c.sendUnacked != c.sendNext {
		c.deadline = now.Add(c.timeout)
	}
}

func (c *Conn) countDuplicateAck(now time.Time) {
	c.duplicateAcks++
	if c.duplicateAcks == fastRetransmitThreshold {
		c.retransmitFirst(now)
	}
}

// receiveData returns the data that is next in order, and buffers segments that
// arrive ahead of it.
func (c *Conn) receiveData(s Segment) []byte {
	if len(s.Payload) == 0 && !s.Flags.Has(wire.FIN) {
		return nil
	}
	if c.state != Established || c.finReceived || sequenceBefore(s.Seq, c.receiveNext) {
		c.sendAck()
		return nil
	}
	if s.Seq != c.receiveNext {
		c.bufferOutOfOrder(s)
		c.sendAck()
		return nil
	}
	data := c.deliver(nil, s)
	for !c.finReceived {
		next, ok := c.outOfOrder[c.receiveNext]
		if !ok {
			break
		}
		delete(c.outOfOrder, c.receiveNext)
		data = c.deliver(data, next)
	}
	c.sendAck()
	c.closeIfDone()
	return data
}

// bufferOutOfOrder stores a copy of a segment, unless it begins beyond the receive
// window.
func (c *Conn) bufferOutOfOrder(s Segment) {
	if !sequenceBefore(s.Seq, c.receiveNext+windowSize) {
		return
	}
	if c.outOfOrder == nil {
		c.outOfOrder = make(map[uint32]Segment)
	}
	s.Payload = append([]byte(nil), s.Payload...)
	c.outOfOrder[s.Seq] = s
}

func (c *Conn) deliver(data []byte, s Segment) []byte {
	c.receiveNext += uint32(len(s.Payload))
	if s.Flags.Has(wire.FIN) {
		c.receiveNext++
		c.finReceived = true
		c.outOfOrder = nil
	}
	return append(data, s.Payload...)
}

func (c *Conn) closeIfDone() {
	if c.finAcked && c.finReceived {
		c.end(Closed)
	}
}
