package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/outcomes"
)

func TestRetryThoughTheFirstTargetAnsweredIsCounted(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	client := f.newClient(feedAddress)
	first := client.sendSYN().Target
	retried := f.advance(initialTimeoutLocal)
	require.Len(t, retried, 1)
	client.confirmOpen(first)
	counts := f.engine.DrainOutcomes()
	require.Equal(t, outcomes.Count{Made: 1, Wrong: 1}, counts[outcomes.Retrying])
}

func TestCheckOfALivingTargetIsCounted(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"))
	target := orderTarget(1, "a")
	f.newClient(feedAddress).sendSYN()
	for _, outcome := range []CheckOutcome{CheckPassed, CheckRefused} {
		f.engine.targets.requestCheck(f.now, f.engine.targets.byID[target.ID])
		f.engine.RecordCheck(f.now, target.ID, outcome)
		f.now += checkInterval
	}
	require.Equal(t, outcomes.Count{Made: 2, Wrong: 1}, f.engine.DrainOutcomes()[outcomes.Suspecting])
}

// A flow that is answered late was placed wrongly only if another target had a free slot.
func TestFlowAtABusyTargetIsCounted(t *testing.T) {
	for _, free := range []bool{true, false} {
		f := newEstimateFixture(t)
		f.learnUsualTime()
		f.engine.DrainOutcomes()
		late, other := f.newClient(feedAddress), f.newClient(feedAddress)
		late.establish()
		other.establish()
		late.sendRequest()
		other.sendRequest()
		if free {
			f.now += usualTime
			other.ackAnswer()
		}
		f.now += 2 * simObjective
		late.ackAnswer()
		wrong := f.engine.DrainOutcomes()[outcomes.Placing].Wrong
		require.Equal(t, free, wrong == 1, "another target was free: %v", free)
	}
}
