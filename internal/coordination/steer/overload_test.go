package steer

import (
	"testing"

	"github.com/stretchr/testify/require"
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
		l.sample()
	}
	require.False(t, l.possiblyOverloaded())
}
