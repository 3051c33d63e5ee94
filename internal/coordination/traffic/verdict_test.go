package traffic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// openFlow opens a flow that the engine owns first and returns its first packet
// in mid-flow, as decided, and the time after it.
func openFlow(t *testing.T, e *Engine, now time.Time, snap *state.Snapshot) (Packet, Decision, time.Time) {
	p := ownedPacket(e, 0, KindSYN)
	require.Equal(t, ActionRelay, e.Handle(now, snap, &p).Action)
	p.Kind = KindData
	now = now.Add(time.Second)
	return p, e.Handle(now, snap, &p), now
}

func otherTarget(number state.TargetNumber) state.TargetNumber { return number%14 + 1 }

func TestSecondOwnerOverrulesFirstMidFlowPacket(t *testing.T) {
	snap := benchSnapshot(state.WayOwner, 0)
	e, now := settledEngine(Settings{}, snap)
	p, d, now := openFlow(t, e, now, snap)
	require.True(t, verdictFromHeader(d.Header).has(headerTentative))
	other := otherTarget(d.Header.Target)
	h := relay.Header{Kind: relay.KindConfirm, Service: 1, Target: other, Verdict: relay.VerdictForward,
		Reason: uint8(headerOpen), Fingerprint: p.Fingerprint}
	e.HandleRecord(now, snap, h)
	require.Equal(t, other, e.Handle(now, snap, &p).Target.Number)
}

func TestCopyOfOpeningDoesNotReplaceOpenFlow(t *testing.T) {
	snap := benchSnapshot(state.WayOwner, 0)
	e, now := settledEngine(Settings{}, snap)
	p, d, now := openFlow(t, e, now, snap)
	h := relay.Header{Kind: relay.KindRecord, Service: 1, Target: otherTarget(d.Header.Target),
		Verdict: relay.VerdictForward, Fingerprint: p.Fingerprint}
	e.HandleRecord(now, snap, h)
	require.Equal(t, d.Header.Target, e.Handle(now, snap, &p).Target.Number)
}

func TestResumedOwnerConfirmsRecordOnce(t *testing.T) {
	snap := benchSnapshot(state.WayOwner, 0)
	e, now := settledEngine(Settings{}, snap)
	p, _, now := openFlow(t, e, now, snap)
	require.Equal(t, ActionForward, e.Handle(now, snap, &p).Action)
	now = now.Add(2 * time.Second)
	e.Resumed(now, snap)
	d := e.Handle(now, snap, &p)
	require.Equal(t, ActionRelay, d.Action)
	require.True(t, verdictFromHeader(d.Header).has(headerTentative))
	now = now.Add(time.Second)
	require.Equal(t, ActionForward, e.Handle(now, snap, &p).Action)
}
