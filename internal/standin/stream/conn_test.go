package stream

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/standin/wire"
)

// link carries segments both ways. It drops each with the given probability,
// repeats each with the same, and reorders them if shuffled.
type link struct {
	random      *rand.Rand
	probability float64
	shuffled    bool
	now         time.Time
	caller      *Conn
	server      *Conn
	received    [2][]byte
}

// roll reports true with the probability of the link.
func (l *link) roll() bool { return l.random.Float64() < l.probability }

// round advances the time by 10 ms and carries the queued segments of both ends.
func (l *link) round() {
	l.now = l.now.Add(10 * time.Millisecond)
	l.caller.Tick(l.now)
	for _, s := range l.impair(l.caller.DrainSegments()) {
		l.toServer(s)
	}
	if l.server == nil {
		return
	}
	l.server.Tick(l.now)
	for _, s := range l.impair(l.server.DrainSegments()) {
		l.received[0] = append(l.received[0], l.caller.Receive(l.now, s)...)
	}
}

func (l *link) toServer(s Segment) {
	if l.server == nil {
		if s.Flags.Has(wire.SYN) {
			l.server = Accept(l.now, 1<<32-1, s)
		}
		return
	}
	l.received[1] = append(l.received[1], l.server.Receive(l.now, s)...)
}

func (l *link) impair(sent []Segment) []Segment {
	var picked []Segment
	for _, s := range sent {
		s.Payload = bytes.Clone(s.Payload)
		if !l.roll() {
			picked = append(picked, s)
		}
		if l.roll() {
			picked = append(picked, s)
		}
	}
	if l.shuffled {
		l.random.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	}
	return picked
}

// All data must arrive intact and both ends must close while segments are lost,
// repeated and reordered. The server's sequence numbers wrap around.
func TestTransferOverLossyLink(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		random := rand.New(rand.NewPCG(seed, 0))
		l := &link{
			random:      random,
			probability: 0.1,
			shuffled:    seed%2 == 0,
			now:         time.Unix(0, 0),
		}
		l.caller = Dial(l.now, random.Uint32())
		question := bytes.Repeat([]byte{1, 2, 3}, 1000)
		answer := bytes.Repeat([]byte{4, 5, 6, 7}, 20_000)
		l.caller.Write(l.now, question)
		written := false
		for range 20_000 {
			l.round()
			if l.server != nil && !written && len(l.received[1]) == len(question) {
				l.server.Write(l.now, answer)
				l.server.Close(l.now)
				written = true
			}
			if len(l.received[0]) == len(answer) {
				l.caller.Close(l.now)
			}
			if l.caller.State().Ended() && l.server.State().Ended() {
				break
			}
		}
		require.Equal(t, Closed, l.caller.State(), "seed %d", seed)
		require.True(t, bytes.Equal(answer, l.received[0]), "seed %d", seed)
		require.True(t, bytes.Equal(question, l.received[1]), "seed %d", seed)
	}
}

// A reset that does not acknowledge the SYN must not end the connection.
func TestRefusalMustAcknowledgeSYN(t *testing.T) {
	now := time.Unix(0, 0)
	c := Dial(now, 100)
	c.Receive(now, Segment{Flags: wire.RST | wire.ACK, Ack: 55, Payload: []byte("x")})
	require.Equal(t, SYNSent, c.State())
	c.Receive(now, Segment{Flags: wire.RST | wire.ACK, Ack: 101, Payload: []byte("later")})
	require.Equal(t, Refused, c.State())
}

// A reset outside the receive window must not end the connection.
func TestResetMustBeInWindow(t *testing.T) {
	now := time.Unix(0, 0)
	c := Accept(now, 9, Segment{Flags: wire.SYN, Seq: 500})
	c.Receive(now, Segment{Flags: wire.ACK, Seq: 501, Ack: 10})
	require.Equal(t, Established, c.State())
	c.Receive(now, Segment{Flags: wire.RST, Seq: 400})
	require.Equal(t, Established, c.State())
	c.Receive(now, Segment{Flags: wire.RST, Seq: 501})
	require.Equal(t, Reset, c.State())
}

// A SYN that is never answered is sent maxAttempts times, then the Conn times out.
func TestUnansweredSYNTimesOut(t *testing.T) {
	now := time.Unix(0, 0)
	c := Dial(now, 1)
	sent := len(c.DrainSegments())
	for c.State() == SYNSent {
		now = c.Deadline()
		c.Tick(now)
		sent += len(c.DrainSegments())
	}
	require.Equal(t, TimedOut, c.State())
	require.Equal(t, maxAttempts, sent)
}
