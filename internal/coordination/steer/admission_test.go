package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overloadMany rejects so many first requests that the engine limits new flows, and fills
// the limit. The flows that fill it are returned: their requests are not answered yet.
func (f *fixture) overloadMany() (waiting []*testClient) {
	f.learnUsualTime()
	for range 20 {
		for range 2 * manyTargets {
			client := f.newClient(feedAddress)
			verdict := client.sendSYN()
			if verdict.Action != ActionForward {
				continue
			}
			f.now += 5 * time.Millisecond
			client.confirmOpen(verdict.Target)
			client.sendRequest()
			f.now += usualTime
			client.ackRejection()
			client.close()
		}
		f.advance(time.Second)
	}
	changes := f.engine.DrainOverloadChanges()
	require.NotEmpty(f.t, changes)
	require.True(f.t, changes[len(changes)-1].Limiting)
	limiter := f.engine.targets.limiters.of(orderPool)
	for limiter.Admit(0, netip.Addr{}) {
		client := f.newClient(feedAddress)
		client.establish()
		client.sendRequest()
		waiting = append(waiting, client)
	}
	require.NotEmpty(f.t, waiting)
	return waiting
}

// A SYN above the limit is refused at once and nothing is kept of it: a caller that can't be
// served learns so without waiting.
func TestSYNAboveTheLimitIsRefusedAtOnce(t *testing.T) {
	f := newEstimateFixture(t)
	f.overloadMany()
	flows := f.engine.FlowCount()
	for range 100 {
		verdict := f.newClient(feedAddress).sendSYN()
		require.Equal(t, ActionReset, verdict.Action)
		require.Equal(t, ReasonOverloaded, verdict.Reason)
	}
	require.Equal(t, flows, f.engine.FlowCount())
	require.Empty(t, f.advance(0), "each was told at once")
}

// The SYN of a caller that comes after a request has ended goes on.
func TestSYNGoesOnOnceARequestHasEnded(t *testing.T) {
	f := newEstimateFixture(t)
	busy := f.overloadMany()
	for _, other := range busy {
		other.ackAnswer()
	}
	require.Equal(t, ActionForward, f.newClient(feedAddress).sendSYN().Action)
}

func TestCopyOfASYNIsForwardedAboveTheLimit(t *testing.T) {
	f := newEstimateFixture(t)
	f.overloadMany()
	client := f.newClient(feedAddress)
	verdict := client.send(Packet{SYN: true, Seq: client.seq, Ack: 1, Raw: []byte("syn")})
	require.Equal(t, ActionForward, verdict.Action)
}
