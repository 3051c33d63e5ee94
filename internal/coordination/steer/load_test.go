package steer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// baselineLoad returns a load with a usual number of waiting requests and of openings a
// second.
func baselineLoad(waiting, openings int) *loadTracker {
	l := &loadTracker{waiting: waiting}
	for range 10 {
		l.syns = openings
		l.sample()
	}
	return l
}

func TestOverloadByWaitingRequests(t *testing.T) {
	l := baselineLoad(5, 10)
	require.False(t, l.possiblyOverloaded())
	l.waiting = 5 + 5
	require.False(t, l.possiblyOverloaded(), "a third of the targets has ended")
	l.waiting = 30
	require.True(t, l.possiblyOverloaded())
}

// A host of 91 saw seven openings a second, then 69, and one request that waited; it
// reset a flow at a target that was full (huaman-retratos-grown, all-overloaded).
func TestOverloadBySYNRate(t *testing.T) {
	l := baselineLoad(1, 7)
	l.syns = 15
	require.False(t, l.possiblyOverloaded(), "flows that were reset are opened again")
	l.syns = 40
	require.True(t, l.possiblyOverloaded(), "within the second")
	for range 1 + overloadHoldSamples {
		l.sample()
		require.True(t, l.possiblyOverloaded(), "targets still work on what they queued")
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
	require.False(t, l.possiblyOverloaded(), "but it does in the end")
}

func TestPossiblyOverloadedUntilBaselineIsKnown(t *testing.T) {
	l := new(loadTracker)
	for range minSamples {
		require.True(t, l.possiblyOverloaded())
		l.sample()
	}
	require.False(t, l.possiblyOverloaded())
}
