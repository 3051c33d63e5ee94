package traffic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// openingWithoutPayload returns an opening without payload of a flow of which the
// engine's host is first owner.
func openingWithoutPayload(e *Engine) Packet {
	p := ownedPacket(e, 0, KindSYN)
	p.PayloadSize = 0
	return p
}

// retransmit passes an opening to the engine at the times at which a caller's TCP
// sends it, and returns the last decision.
func retransmit(e *Engine, now time.Time, snap *state.Snapshot, p Packet) Decision {
	var d Decision
	for _, after := range []time.Duration{0, time.Second, 3 * time.Second} {
		d = e.Handle(now.Add(after), snap, &p)
	}
	return d
}

func TestUnansweredOpeningMovesToAnotherTarget(t *testing.T) {
	for _, pinned := range []bool{false, true} {
		snap := benchSnapshot(state.ForwardByOwner, 0)
		snap.Version, snap.Ready = 1, true
		e, now := settledEngine(Settings{PinOpenings: pinned}, snap)
		p := openingWithoutPayload(e)
		first := e.Handle(now, snap, &p).Header.Target
		last := retransmit(e, now, snap, p)
		require.Equal(t, ActionRelay, last.Action)
		require.Equal(t, pinned, last.Header.Target == first)
		require.Equal(t, !pinned, last.Reason == ReasonMoved)
	}
}

func TestOpeningLeavesEjectedTargetAtOnce(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	snap.Version, snap.Ready = 1, true
	e, now := settledEngine(Settings{}, snap)
	p := openingWithoutPayload(e)
	first := e.Handle(now, snap, &p).Header.Target
	snap.Targets[first].Ejected = true
	d := e.Handle(now.Add(time.Second), snap, &p)
	require.NotEqual(t, first, d.Header.Target)
	require.Zero(t, snap.Targets[first].Counters.OpenFlows.Load())
	require.Equal(t, int64(1), snap.Targets[d.Header.Target].Counters.OpenFlows.Load())
}

// Moving a flow after its target may have received payload would break it or
// deliver the payload twice.
func TestOpeningStaysOncePayloadMayHaveBeenSent(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	snap.Version, snap.Ready = 1, true
	for name, prepare := range map[string]func(*Engine, time.Time, *Packet){
		"opened": func(e *Engine, now time.Time, p *Packet) {
			data := *p
			data.Kind = KindData
			e.Handle(now, snap, &data)
		},
		"payload in the opening": func(_ *Engine, _ time.Time, p *Packet) { p.PayloadSize = 10 },
	} {
		t.Run(name, func(t *testing.T) {
			e, now := settledEngine(Settings{}, snap)
			p := openingWithoutPayload(e)
			first := e.Handle(now, snap, &p).Header.Target
			prepare(e, now, &p)
			require.NotEqual(t, ReasonMoved, retransmit(e, now, snap, p).Reason)
			require.Equal(t, first, e.records.find(p.Fingerprint).target)
		})
	}
}

func TestSecondOwnerAcceptsMoveUnlessFlowOpened(t *testing.T) {
	for _, opened := range []bool{false, true} {
		snap := benchSnapshot(state.ForwardByOwner, 0)
		snap.Version, snap.Ready = 1, true
		e, now := settledEngine(Settings{}, snap)
		p := benchPacket(1, KindSYN)
		p.PayloadSize = 0
		p.Relay = relay.Header{Kind: relay.KindOpening, Hops: 1, Service: 1, Fingerprint: p.Fingerprint,
			Verdict: relay.VerdictForward, Target: 3, Reason: uint8(headerNew | headerTentative)}
		e.Handle(now, snap, &p)
		if opened {
			data := p
			data.Kind = KindData
			e.Handle(now, snap, &data)
		}
		p.Relay.Target = 4
		p.Relay.Reason = uint8(headerTentative | headerMoved)
		target := e.Handle(now, snap, &p).Target.Number
		require.Equal(t, opened, target == 3)
	}
}
