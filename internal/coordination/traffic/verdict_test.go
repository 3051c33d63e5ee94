package traffic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// openFlow opens a flow of which the engine's host is first owner. It returns the
// flow's first mid-flow packet, the decision about it, and the current time.
func openFlow(t *testing.T, e *Engine, now time.Time, snap *state.Snapshot) (Packet, Decision, time.Time) {
	p := ownedPacket(e, 0, KindSYN)
	require.Equal(t, ActionRelay, e.Handle(now, snap, &p).Action)
	p.Kind = KindData
	now = now.Add(time.Second)
	return p, e.Handle(now, snap, &p), now
}

// otherTarget returns the number of another target of benchSnapshot.
func otherTarget(number state.TargetNumber) state.TargetNumber { return number%14 + 1 }

// The first mid-flow packet does not make a verdict final if the owners may have
// changed: the second owner can still report that the flow is at another target.
func TestSecondOwnerOverrulesFirstMidFlowPacket(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e, now := settledEngine(Settings{}, snap)
	p, d, now := openFlow(t, e, now, snap)
	require.True(t, verdictFromHeader(d.Header).has(headerTentative))
	other := otherTarget(d.Header.Target)
	h := relay.Header{Kind: relay.KindConfirm, Service: 1, Target: other, Verdict: relay.VerdictForward,
		Reason: uint8(headerOpen), Fingerprint: p.Fingerprint}
	e.HandleRecord(now, snap, h)
	require.Equal(t, other, e.Handle(now, snap, &p).Target.Number)
}

// A late copy of a record that has seen only the opening must not move an open
// flow to another target.
func TestCopyOfOpeningDoesNotReplaceOpenFlow(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e, now := settledEngine(Settings{}, snap)
	p, d, now := openFlow(t, e, now, snap)
	h := relay.Header{Kind: relay.KindRecord, Service: 1, Target: otherTarget(d.Header.Target),
		Verdict: relay.VerdictForward, Fingerprint: p.Fingerprint}
	e.HandleRecord(now, snap, h)
	require.Equal(t, d.Header.Target, e.Handle(now, snap, &p).Target.Number)
}

// While a host is paused, another host may place its flows elsewhere. After the
// pause, the next packet of a flow has to go through the other owner.
func TestResumedOwnerConfirmsRecordOnce(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e, now := settledEngine(Settings{}, snap)
	p, _, now := openFlow(t, e, now, snap)
	require.Equal(t, ActionForward, e.Handle(now, snap, &p).Action)
	now = now.Add(2 * time.Second)
	e.HandleResume(now, snap)
	d := e.Handle(now, snap, &p)
	require.Equal(t, ActionRelay, d.Action)
	require.True(t, verdictFromHeader(d.Header).has(headerTentative))
	now = now.Add(time.Second)
	require.Equal(t, ActionForward, e.Handle(now, snap, &p).Action)
}
