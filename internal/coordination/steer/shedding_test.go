package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
)

// overload answers requests late until the engine limits new flows.
func (f *fixture) overload() {
	clients := make([]*testClient, 40)
	for i := range clients {
		clients[i] = f.newClient(feedAddress)
		clients[i].establish()
	}
	for range 5 {
		f.answerRequests(clients, 20*time.Millisecond)
	}
	for range 5 {
		f.answerRequests(clients, 2*simObjective)
	}
	f.engine.targets.limiters.of(orderPool).AddInFlight(1000)
	changes := f.engine.DrainOverloadChanges()
	require.Len(f.t, changes, 1)
	require.Equal(f.t, orderPool, changes[0].Pool)
	require.True(f.t, changes[0].Limiting)
}

// answerRequests has a request of each client answered after the given time.
func (f *fixture) answerRequests(clients []*testClient, took time.Duration) {
	for _, client := range clients {
		client.sendRequest()
	}
	f.now += took
	for _, client := range clients {
		client.ackAnswer()
	}
}

// newOverloadFixture returns a fixture whose routes have a latency objective.
func newOverloadFixture(t *testing.T) *fixture {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"), newTarget(3, "a", proofPool))
	for _, route := range f.engine.view.Routes {
		route.LatencyObjective = simObjective
	}
	return f
}

func TestSYNIsRefusedAtOnceInOverload(t *testing.T) {
	f := newOverloadFixture(t)
	f.overload()
	for range 10 {
		f.newClient(feedAddress).sendSYN()
	}
	verdict := f.newClient(feedAddress).sendSYN()
	require.Equal(t, ActionReset, verdict.Action)
	require.Equal(t, ReasonOverloaded, verdict.Reason)
	require.Equal(t, ActionForward, f.newClient(proofAddress).sendSYN().Action, "another service is not overloaded")
}

// The first copy may have opened the flow through another host.
func TestRetransmittedSYNIsNeverRefused(t *testing.T) {
	f := newOverloadFixture(t)
	f.overload()
	for range 100 {
		client := f.newClient(feedAddress)
		require.Equal(t, ActionForward, client.send(Packet{SYN: true, Seq: client.seq, Ack: 1, Raw: []byte("syn")}).Action)
	}
}

func TestRequestOnOpenFlowIsForwardedInOverload(t *testing.T) {
	f := newOverloadFixture(t)
	client := f.newClient(feedAddress)
	client.establish()
	f.overload()
	require.Equal(t, ActionForward, client.sendRequest().Action)
}

// A client that gave up must not count as a request in flight for long.
func TestAbandonedRequestLeavesTheLimiter(t *testing.T) {
	f := newOverloadFixture(t)
	client := f.newClient(feedAddress)
	client.establish()
	client.sendRequest()
	flow := f.engine.flows[state.FlowKey{Protocol: state.TCP, Caller: client.address, Service: client.service}]
	require.NotNil(t, flow.limiter)
	f.now += abandonedAfter + sweepInterval
	f.engine.HandleDeadlines(f.now, nil)
	require.Nil(t, flow.limiter)
	require.True(t, flow.waiting)
}

func TestEndOfOverloadWithoutAnswersIsTold(t *testing.T) {
	f := newOverloadFixture(t)
	f.overload()
	f.now += 10 * time.Second
	f.engine.HandleDeadlines(f.now, nil)
	changes := f.engine.DrainOverloadChanges()
	require.Len(t, changes, 1)
	require.False(t, changes[0].Limiting)
}
