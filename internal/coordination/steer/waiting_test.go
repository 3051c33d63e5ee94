package steer

import (
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
	for limiter.Admit(0) {
		client := f.newClient(feedAddress)
		client.establish()
		client.sendRequest()
		waiting = append(waiting, client)
	}
	require.NotEmpty(f.t, waiting)
	return waiting
}

func TestSYNWaitsForASlotInAnOverload(t *testing.T) {
	f := newEstimateFixture(t)
	busy := f.overloadMany()
	client := f.newClient(feedAddress)
	verdict := client.sendSYN()
	require.Equal(t, ReasonWaiting, verdict.Reason)
	require.Equal(t, ActionDrop, verdict.Action)
	require.Empty(t, f.advance(time.Millisecond))
	for _, other := range busy {
		other.ackAnswer()
	}
	at, ok := f.engine.NextDeadline()
	require.True(t, ok)
	require.Zero(t, at, "a request has ended")
	verdicts := f.advance(0)
	require.Len(t, verdicts, 1)
	require.Equal(t, ActionForward, verdicts[0].Action)
	require.Equal(t, client.address, verdicts[0].Client)
	require.Equal(t, []byte("syn"), verdicts[0].Raw)
}

func TestWaitingSYNIsRefusedInTime(t *testing.T) {
	f := newEstimateFixture(t)
	f.overloadMany()
	client := f.newClient(feedAddress)
	client.sendSYN()
	at, ok := f.engine.NextDeadline()
	require.True(t, ok)
	require.LessOrEqual(t, at-f.now, simObjective/4)
	verdicts := f.advance(at - f.now)
	require.Len(t, verdicts, 1)
	require.Equal(t, ActionReset, verdicts[0].Action)
	require.Equal(t, ReasonOverloaded, verdicts[0].Reason)
	require.Equal(t, client.address, verdicts[0].Client)
	require.Zero(t, f.engine.waitingSYNs)
	require.Empty(t, f.advance(time.Second), "it is refused once")
}

func TestMoreSYNsThanMayWaitAreRefusedAtOnce(t *testing.T) {
	f := newEstimateFixture(t)
	f.overloadMany()
	refused := 0
	for range 100 {
		if f.newClient(feedAddress).sendSYN().Action == ActionReset {
			refused++
		}
	}
	refused += len(f.advance(0))
	require.Equal(t, 100-f.engine.waitingSYNs, refused)
	require.Positive(t, refused)
}

// A client's packet on a flow that another host opened ends the wait.
func TestOpenFlowNoLongerWaits(t *testing.T) {
	f := newEstimateFixture(t)
	f.overloadMany()
	client := f.newClient(feedAddress)
	client.sendSYN()
	require.Equal(t, 1, f.engine.waitingSYNs)
	target := f.engine.view.Pools[orderPool].Offered[0]
	require.Equal(t, ActionForward, client.confirmOpen(target).Action)
	require.Zero(t, f.engine.waitingSYNs)
	for _, verdict := range f.advance(time.Second) {
		require.NotEqual(t, client.address, verdict.Client)
	}
}

func TestRetransmittedSYNNeverWaits(t *testing.T) {
	f := newEstimateFixture(t)
	f.overloadMany()
	client := f.newClient(feedAddress)
	verdict := client.send(Packet{SYN: true, Seq: client.seq, Ack: 1, Raw: []byte("syn")})
	require.Equal(t, ActionForward, verdict.Action)
}
