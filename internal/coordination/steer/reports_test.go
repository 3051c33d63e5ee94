package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// newReportFixture returns an engine that has learned the usual load and has an idle flow
// at the target t1, and that flow's client.
func newReportFixture(t *testing.T) (*fixture, *testClient) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"), orderTarget(3, "a"))
	f.engine.view.Routes[feedAddress].LatencyObjective = relaxedObjective - 1
	f.learnBaseline()
	c := f.establishAt(feedAddress, "t1")
	c.sendRequest()
	c.ackAnswer()
	return f, c
}

// The load: many targets fall silent, and a host of many has few requests for each. The
// next request on an idle flow is answered with a reset at once, so that its caller has
// time to retry within its objective; without a report it learns only 320 ms later.
func TestRequestToAReportedTargetIsResetAtOnce(t *testing.T) {
	f, c := newReportFixture(t)
	f.engine.RecordReport(f.now, orderTarget(1, "a").ID)
	f.now += 120 * time.Millisecond
	require.Equal(t, 1, f.runChecks(noneAlive), "the host checks the target itself")
	f.now += 50 * time.Millisecond
	verdict := c.sendRequest()
	require.Equal(t, ActionReset, verdict.Action)
	require.Equal(t, ReasonTargetSilent, verdict.Reason)
}

// The host that reported may have been cut off itself.
func TestReportAloneResetsNothing(t *testing.T) {
	f, c := newReportFixture(t)
	t1 := orderTarget(1, "a").ID
	f.engine.RecordReport(f.now, t1)
	require.Equal(t, ActionForward, c.sendRequest().Action)
	for range 20 {
		require.NotEqual(t, t1, f.newClient(feedAddress).establish().ID, "new flows go elsewhere meanwhile")
	}
	f.runChecks(allAlive)
	require.Empty(t, f.engine.HandleDeadlines(f.now, nil))
	f.establishAt(feedAddress, "t1")
}

func TestReportExpires(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	f.learnBaseline()
	f.engine.RecordReport(f.now, orderTarget(1, "a").ID)
	require.Empty(t, f.engine.DrainChecks(), "without flows there the host need not know")
	require.Equal(t, "t2", f.newClient(feedAddress).establish().Name)
	f.now += reportLifetime
	f.establishAt(feedAddress, "t1")
}

// Full targets accept no connection, like dead ones: checks by every host would add to
// their load.
func TestReportsAreIgnoredAndNotMadeInOverload(t *testing.T) {
	f, c := newReportFixture(t)
	f.engine.targets.totalLoad.waiting += 100
	f.engine.RecordReport(f.now, orderTarget(1, "a").ID)
	require.Empty(t, f.engine.DrainChecks())
	c.sendRequest()
	f.now += 200 * time.Millisecond
	c.retransmit()
	f.runChecks(noneAlive)
	changes := f.engine.DrainHealthChanges()
	require.Len(t, changes, 1)
	require.False(t, changes[0].Report)
}

func TestFewChecksRunBecauseOfReports(t *testing.T) {
	const count = 3 * maxReportedChecks
	var targets []catalog.Target
	for number := range count {
		targets = append(targets, orderTarget(number+1, "a"))
	}
	f := newFixture(t, targets...)
	for range 20 * count {
		f.newClient(feedAddress).establish()
	}
	f.learnBaseline()
	for _, target := range targets {
		f.engine.RecordReport(f.now, target.ID)
	}
	checked := 0
	for range count / maxReportedChecks {
		checks := f.engine.DrainChecks()
		require.Len(t, checks, maxReportedChecks)
		for _, check := range checks {
			f.engine.RecordCheck(f.now, check.Target, CheckPassed)
			checked++
		}
	}
	require.Equal(t, count, checked, "all are checked in the end")
	require.Zero(t, f.engine.targets.runningChecks)
}
