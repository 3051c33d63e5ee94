package steer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// usualLoad returns a load with a usual number of waiting requests and of openings a
// second.
func usualLoad(waiting, openings int) *load {
	l := &load{waiting: waiting}
	for range 10 {
		l.openings = openings
		l.sample()
	}
	return l
}

func TestSeveralTimesTheUsualRequestsAreAnOverload(t *testing.T) {
	l := usualLoad(5, 10)
	require.False(t, l.high())
	l.waiting = 5 + 5
	require.False(t, l.high(), "a third of the targets has ended")
	l.waiting = 30
	require.True(t, l.high())
}

// A host of 91 saw seven openings a second, then 69, and one request that waited; it
// reset a flow at a target that was full (huaman-retratos-grown, all-overloaded).
func TestSeveralTimesTheUsualOpeningsAreAnOverload(t *testing.T) {
	l := usualLoad(1, 7)
	l.openings = 15
	require.False(t, l.high(), "flows that were reset are opened again")
	l.openings = 40
	require.True(t, l.high(), "within the second")
	for range 1 + overloadLasts {
		l.sample()
		require.True(t, l.high(), "targets still work on what they queued")
		l.openings = 7
	}
	l.sample()
	require.False(t, l.high())
}

func TestAnOverloadDoesNotBecomeUsualSoon(t *testing.T) {
	l := usualLoad(5, 10)
	l.waiting = 60
	for range 20 {
		l.sample()
		require.True(t, l.high())
	}
	for range 600 {
		l.sample()
	}
	require.False(t, l.high(), "but it does in the end")
}

func TestAfterTheStartNothingIsUsual(t *testing.T) {
	l := new(load)
	for range samplesNeeded {
		require.True(t, l.high())
		l.sample()
	}
	require.False(t, l.high())
}
