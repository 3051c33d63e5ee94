package traffic

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// A host that has yet to catch up with the current release may not know its
// targets, but it still forwards the packets of open flows.
func TestHostBehindReleaseKeepsOpenFlowsAndOpensNone(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	snap.Version = 1
	e, now := settledEngine(Settings{}, snap)
	open := ownedPacket(e, 0, KindSYN)
	require.Equal(t, ActionRelay, e.Handle(now, snap, &open).Action)
	behind := *snap
	behind.Ready = false
	data := open
	data.Kind = KindData
	require.Equal(t, relay.VerdictForward, e.Handle(now, &behind, &data).Header.Verdict)
	fresh := ownedPacket(e, 5000, KindSYN)
	require.Equal(t, drop(ReasonNotReady), e.Handle(now, &behind, &fresh))
}
