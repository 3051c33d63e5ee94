package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
)

// newCutFixture returns a fixture whose own domain is drained, with targets in another one.
func newCutFixture(t *testing.T, drained ...state.DomainID) *fixture {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "b"), orderTarget(3, "b"))
	for _, domain := range drained {
		f.directory.Drain(domain)
	}
	f.publish()
	return f
}

// loseSYNs has SYNs of several clients go unanswered for a while, and returns the verdict on
// the SYN of another one.
func (f *fixture) loseSYNs(length time.Duration) Verdict {
	for end := f.now + length; f.now < end; {
		f.newClient(feedAddress).sendSYN()
		f.advance(maxAttemptTimeout)
	}
	f.newClient(feedAddress).sendSYN() // may be let through as a probe
	return f.newClient(feedAddress).sendSYN()
}

func TestFlowIsRefusedWhileOnlyDrainedTargetsAreInReach(t *testing.T) {
	f := newCutFixture(t, "a")
	f.newClient(feedAddress).establish()
	require.False(t, f.engine.Unreachable(f.now))
	verdict := f.loseSYNs(2 * unreachableAfter)
	require.Equal(t, ReasonUnreachable, verdict.Reason)
	require.Equal(t, ActionReset, verdict.Action)
	require.True(t, f.engine.Unreachable(f.now))

	f.now += probeInterval
	probe := f.newClient(feedAddress)
	opened := probe.sendSYN()
	require.Equal(t, ActionForward, opened.Action, "one is let through from time to time")
	require.Equal(t, state.DomainID("b"), opened.Target.Domain)
	probe.confirmOpen(opened.Target)
	require.False(t, f.engine.Unreachable(f.now))
	require.Equal(t, ActionForward, f.newClient(feedAddress).sendSYN().Action)
}

// An answer of a drained target says nothing about the path to the others.
func TestAnswersOfDrainedTargetsAreNoReach(t *testing.T) {
	f := newCutFixture(t)
	local := f.establishAt(feedAddress, "t1")
	f.directory.Drain("a")
	f.publish()
	f.loseSYNs(2 * unreachableAfter)
	local.sendRequest()
	local.ackAnswer()
	require.True(t, f.engine.Unreachable(f.now))
}

// A check that finds a target up ends it, since no client may come to probe.
func TestPassedCheckShowsReach(t *testing.T) {
	f := newCutFixture(t, "a")
	f.newClient(feedAddress).establish()
	f.loseSYNs(2 * unreachableAfter)
	require.NotZero(t, f.runChecks(allAlive))
	require.False(t, f.engine.Unreachable(f.now))
}

// Without a drain SYNs are forwarded whatever was unanswered: a wrong suspicion must not
// refuse flows that could be served.
func TestUnansweredSYNsRefuseNothingWithoutADrain(t *testing.T) {
	f := newCutFixture(t)
	require.Equal(t, ActionForward, f.loseSYNs(2*unreachableAfter).Action)
	require.False(t, f.engine.Unreachable(f.now))
}

// A check that was not made must neither count as an answer of the target nor end what is
// known of it.
func TestInconclusiveCheckShowsNothing(t *testing.T) {
	f := newCutFixture(t, "a")
	f.newClient(feedAddress).establish()
	f.loseSYNs(2 * unreachableAfter)
	for _, check := range f.engine.DrainChecks() {
		before := *f.engine.targets.byID[check.Target]
		f.engine.RecordCheck(f.now, check.Target, CheckInconclusive)
		after := f.engine.targets.byID[check.Target]
		require.Equal(t, before.lastAnswer, after.lastAnswer)
		require.Equal(t, before.missed, after.missed)
		require.Equal(t, f.now+checkInterval, after.nextCheck, "another check comes later")
	}
	require.True(t, f.engine.Unreachable(f.now))
}
