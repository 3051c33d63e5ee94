package upstream

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/exchange"
	"github.com/guavawharf/guavawharf/internal/standin/stream"
	"github.com/guavawharf/guavawharf/internal/standin/wire"
)

// serverConn is one TCP connection of an upstream.
type serverConn struct {
	conn   *stream.Conn
	caller netip.AddrPort
	// incomplete holds the bytes received of a request that is not yet complete.
	incomplete []byte
	endedAt    time.Time
}

func (t *Target) receiveSegment(now time.Time, p wire.Packet) {
	segment := stream.Segment{Flags: p.Flags, Seq: p.Seq, Ack: p.Ack, Payload: p.Payload}
	s := t.connections[p.Source]
	opening := p.Flags.Has(wire.SYN) && !p.Flags.Has(wire.ACK)
	if opening && (s == nil || s.conn.State().Ended()) {
		t.accept(now, p.Source, segment)
		return
	}
	if s == nil {
		t.receiveUnknownFlow(p)
		return
	}
	data := s.conn.Receive(now, segment)
	t.submitRequests(s, data)
	if s.conn.PeerClosed() {
		s.conn.Close(now)
	}
	t.flush(now, s)
}

func (t *Target) accept(now time.Time, caller netip.AddrPort, syn stream.Segment) {
	if t.counts.open.Load() >= int64(t.options.Connections) {
		t.counts.overLimit.Add(1)
		t.sendReset(caller, 0, syn.Seq+1, wire.RST|wire.ACK)
		return
	}
	s := &serverConn{conn: stream.Accept(now, rand.Uint32(), syn), caller: caller}
	t.connections[caller] = s
	t.countOpened(now)
	t.flush(now, s)
}

// receiveUnknownFlow counts a packet of a flow that this target does not know, and
// answers it with a reset unless it is one or Faults.Silent is set.
func (t *Target) receiveUnknownFlow(p wire.Packet) {
	if p.Flags.Has(wire.RST) {
		return
	}
	if len(p.Payload) > 0 {
		t.counts.neverOpened.Add(1)
	} else {
		t.counts.bareUnknown.Add(1)
	}
	t.log.Warn("upstream.unknown_flow", "target", t.options.ID, "caller", p.Source,
		"flags", p.Flags, "payload", len(p.Payload))
	if t.faults.Silent {
		return
	}
	t.sendReset(p.Source, p.Ack, 0, wire.RST)
}

func (t *Target) sendReset(caller netip.AddrPort, seq, ack uint32, flags wire.Flags) {
	t.send(wire.Packet{Dest: caller, Flags: flags, Seq: seq, Ack: ack})
}

// submitRequests appends data to the connection's input and submits the complete
// requests. Malformed input is discarded.
func (t *Target) submitRequests(s *serverConn, data []byte) {
	s.incomplete = append(s.incomplete, data...)
	for len(s.incomplete) >= exchange.RequestSize {
		request, err := exchange.DecodeRequest(s.incomplete)
		if err != nil {
			t.counts.malformed.Add(1)
			s.incomplete = nil
			return
		}
		s.incomplete = s.incomplete[exchange.RequestSize:]
		t.submit(job{request: request, answer: func(a exchange.Answer) { t.answerStream(s, a) }})
	}
}

// answerStream sends an answer unless the connection was replaced or dropped. t.mu
// must be held.
func (t *Target) answerStream(s *serverConn, a exchange.Answer) {
	if t.connections[s.caller] != s {
		return
	}
	now := time.Now()
	s.conn.Write(now, a.Encode())
	t.flush(now, s)
}

// flush sends the connection's queued segments and records its end.
func (t *Target) flush(now time.Time, s *serverConn) {
	for _, out := range s.conn.DrainSegments() {
		t.send(wire.Packet{Dest: s.caller, Flags: out.Flags, Seq: out.Seq, Ack: out.Ack, Payload: out.Payload})
	}
	if s.endedAt.IsZero() && s.conn.State().Ended() {
		s.endedAt = now
		t.countEnd(s.conn.State())
	}
}

func (t *Target) countEnd(state stream.State) {
	t.counts.open.Add(-1)
	switch state {
	case stream.Reset:
		t.counts.reset.Add(1)
	case stream.TimedOut:
		t.counts.timedOut.Add(1)
	}
}

func (t *Target) tickFlows(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for caller, s := range t.connections {
		if !s.endedAt.IsZero() {
			if now.Sub(s.endedAt) > lingerTime {
				delete(t.connections, caller)
			}
			continue
		}
		s.conn.Tick(now)
		t.flush(now, s)
	}
	t.expireUDPFlows(now)
}
