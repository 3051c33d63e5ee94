package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// manyTargets is the number of targets from which the engines of these tests use estimates.
const manyTargets = 20

// newEstimateFixture returns a fixture with so many targets that the engine uses estimates,
// and routes with a latency objective.
func newEstimateFixture(t testing.TB) *fixture {
	var targets []catalog.Target
	for number := range manyTargets {
		targets = append(targets, orderTarget(number+1, "a"))
	}
	f := newFixture(t, targets...)
	f.engine.SetEstimateFrom(manyTargets)
	for _, route := range f.engine.view.Routes {
		route.LatencyObjective = simObjective
	}
	f.engine.SetView(f.now, f.engine.view)
	return f
}

// usualTime is the time to an answer without a queue in these tests.
const usualTime = 20 * time.Millisecond

// learnUsualTime has enough requests answered for the usual time to an answer to be known.
func (f *fixture) learnUsualTime() {
	var clients []*testClient
	for range 40 {
		client := f.newClient(feedAddress)
		client.establish()
		clients = append(clients, client)
	}
	f.answerRequests(clients, usualTime)
	for _, client := range clients {
		client.close()
	}
}

// close closes the flow.
func (c *testClient) close() { c.send(Packet{Seq: c.seq, Ack: c.ack, FIN: true}) }

// ackRejection acknowledges a rejection of the request.
func (c *testClient) ackRejection() {
	c.ack += simRejectionSize
	c.sendAck()
}

func TestTargetThatRejectsGetsNoNewFlow(t *testing.T) {
	f := newEstimateFixture(t)
	f.learnUsualTime()
	client := f.newClient(feedAddress)
	full := client.establish()
	client.sendRequest()
	f.now += usualTime
	client.ackRejection()
	require.Positive(t, f.engine.targets.byID[full.ID].estimate.Queue(f.now))
	for range 5 * manyTargets {
		other := f.newClient(feedAddress)
		require.NotEqual(t, full.Name, other.establish().Name)
		other.close()
	}
}

func TestLongerAnswerIsNoRejection(t *testing.T) {
	f := newEstimateFixture(t)
	f.learnUsualTime()
	client := f.newClient(feedAddress)
	target := client.establish()
	client.sendRequest()
	f.now += usualTime
	client.ack += simAnswerSize * 3 / 4
	client.sendAck()
	require.Zero(t, f.engine.targets.byID[target.ID].estimate.Queue(f.now))
}

func TestEqualTargetsTakeTurns(t *testing.T) {
	f := newEstimateFixture(t)
	f.learnUsualTime()
	counts := make(map[string]int)
	for range 3 * manyTargets {
		client := f.newClient(feedAddress)
		counts[client.establish().Name]++
		client.close()
	}
	for name, count := range counts {
		require.Equal(t, 3, count, name)
	}
}

// With fewer targets than the setting says, and without the setting, an engine decides as
// one that knows nothing of estimates: all its verdicts are the same.
func TestEstimatesAreNotUsedForFewTargets(t *testing.T) {
	play := func(from int) (names []string) {
		f := newOverloadFixture(t)
		random := rand.New(rand.NewPCG(5, 6))
		f.engine.SetEstimateFrom(from)
		f.engine.SetView(f.now, f.engine.view)
		f.overload()
		for range 200 {
			client := f.newClient(feedAddress)
			verdict := client.sendSYN()
			names = append(names, string(verdict.Reason))
			if verdict.Action != ActionForward {
				continue
			}
			names = append(names, verdict.Target.Name)
			client.confirmOpen(verdict.Target)
			client.sendRequest()
			f.now += time.Duration(random.IntN(50)) * time.Millisecond
			if random.IntN(2) == 0 {
				client.ackRejection()
			}
		}
		return names
	}
	require.Equal(t, play(0), play(manyTargets))
}

// BenchmarkPlacing decides about a SYN among 120 targets, by the own requests alone and by
// estimates.
func BenchmarkPlacing(b *testing.B) {
	for name, from := range map[string]int{"requests": 0, "estimates": 1} {
		b.Run(name, func(b *testing.B) {
			var targets []catalog.Target
			for number := range 120 {
				targets = append(targets, orderTarget(number+1, "a"))
			}
			f := newFixture(b, targets...)
			f.engine.SetEstimateFrom(from)
			client := f.newClient(feedAddress)
			b.ReportAllocs()
			for b.Loop() {
				client.seq++
				client.sendSYN()
			}
		})
	}
}
