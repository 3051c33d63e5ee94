package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// baselineLoad returns a tracker whose baseline is the given number of waiting requests
// and of SYNs per second.
func baselineLoad(waiting, syns int) *loadTracker {
	l := &loadTracker{waiting: waiting}
	for range 10 {
		l.syns = syns
		l.sample()
	}
	return l
}

func TestOverloadByWaitingRequests(t *testing.T) {
	l := baselineLoad(5, 10)
	require.False(t, l.possiblyOverloaded())
	l.waiting = 5 + 5
	require.False(t, l.possiblyOverloaded(), "the failure of a third of the targets is no overload")
	l.waiting = 30
	require.True(t, l.possiblyOverloaded())
}

// On one host of 91 the SYNs per second rose from 7 to 69 while a single request waited.
// The overload went undetected and a flow at a full target was reset.
func TestOverloadBySYNRate(t *testing.T) {
	l := baselineLoad(1, 7)
	l.syns = 15
	require.False(t, l.possiblyOverloaded(), "reset flows that are opened again are no overload")
	l.syns = 40
	require.True(t, l.possiblyOverloaded(), "detected before the next sample")
	for range 1 + overloadHoldSamples {
		l.sample()
		require.True(t, l.possiblyOverloaded(), "targets still work on queued requests")
		l.syns = 7
	}
	l.sample()
	require.False(t, l.possiblyOverloaded())
}

func TestBaselineAdaptsSlowlyInOverload(t *testing.T) {
	l := baselineLoad(5, 10)
	l.waiting = 60
	for range 20 {
		l.sample()
		require.True(t, l.possiblyOverloaded())
	}
	for range 600 {
		l.sample()
	}
	require.False(t, l.possiblyOverloaded(), "a lasting overload becomes the baseline in the end")
}

func TestPossiblyOverloadedUntilBaselineIsKnown(t *testing.T) {
	l := new(loadTracker)
	for range minSamples {
		require.True(t, l.possiblyOverloaded())
		l.syns = 1
		l.sample()
	}
	require.False(t, l.possiblyOverloaded())
}

// A host that has run without traffic for longer than the baseline takes to learn, as all
// hosts do before their fabric sends packets, must not take the usual traffic for an
// overload: for minutes it reset no flow of a dead target before a second of silence.
func TestUsualTrafficAfterIdleTimeIsNoOverload(t *testing.T) {
	l := new(loadTracker)
	for range 10 {
		l.sample()
	}
	for range minSamples {
		require.True(t, l.possiblyOverloaded(), "nothing is known of the usual traffic yet")
		l.waiting, l.syns = 3, 40
		l.sample()
	}
	require.False(t, l.possiblyOverloaded())
	for range 60 {
		l.waiting, l.syns = 0, 0
		l.sample()
	}
	l.waiting, l.syns = 3, 40
	require.False(t, l.possiblyOverloaded(), "the same traffic after an idle minute")
}

// The load: a host is idle for 10 s, then gets 40 requests a second on open flows, and
// one of four targets falls silent. Its callers repeat a request after 200 ms and have
// 500 ms.
func TestCallersOfASilentTargetAreToldWithinTheirDeadline(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"), orderTarget(3, "a"), orderTarget(4, "a"))
	f.engine.view.Routes[feedAddress].LatencyObjective = relaxedObjective - 1
	for range 10 {
		f.advance(time.Second)
	}
	var clients []*testClient
	for range 40 {
		c := f.newClient(feedAddress)
		c.establish()
		clients = append(clients, c)
	}
	for range minSamples + 1 {
		for _, c := range clients {
			c.sendRequest()
			f.now += 20 * time.Millisecond
			c.ackAnswer()
		}
		f.advance(200 * time.Millisecond)
	}
	silent := orderTarget(1, "a").ID
	sentAt := f.now
	waiting := make(map[*testClient]bool)
	for _, c := range clients {
		c.sendRequest()
		if c.cookie == silent.Cookie() {
			waiting[c] = true
			continue
		}
		c.ackAnswer()
	}
	require.NotEmpty(t, waiting)
	f.now = sentAt + 200*time.Millisecond
	for c := range waiting {
		c.retransmit()
	}
	f.now += 120 * time.Millisecond
	f.runChecks(func(id catalog.TargetID) bool { return id != silent })
	resets := f.engine.HandleDeadlines(f.now, nil)
	require.Len(t, resets, len(waiting), "each caller is told 320 ms after its request")
	for _, reset := range resets {
		require.Equal(t, ReasonTargetSilent, reset.Reason)
	}
}
