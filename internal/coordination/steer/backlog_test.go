package steer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// settledBacklog returns a backlog with a usual number of waiting requests.
func settledBacklog(usual int) *backlog {
	b := &backlog{waiting: usual}
	for range 10 {
		b.sample()
	}
	return b
}

func TestSeveralTimesTheUsualRequestsAreAnOverload(t *testing.T) {
	b := settledBacklog(5)
	require.False(t, b.high())
	b.waiting = 5 + 5
	require.False(t, b.high(), "a third of the targets has ended")
	b.waiting = 30
	require.True(t, b.high())
}

func TestAnOverloadDoesNotBecomeUsualSoon(t *testing.T) {
	b := settledBacklog(5)
	b.waiting = 60
	for range 20 {
		b.sample()
		require.True(t, b.high())
	}
	for range 600 {
		b.sample()
	}
	require.False(t, b.high(), "but it does in the end")
}

func TestAfterTheStartNothingIsUsual(t *testing.T) {
	b := new(backlog)
	for range backlogSamples {
		require.True(t, b.high())
		b.sample()
	}
	require.False(t, b.high())
}
