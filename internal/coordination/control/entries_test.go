package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
)

func TestOldTablesAreDroppedWhenNoFlowNeedsThem(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPublisher(state.Host{ID: "a1", Domain: "a"})
	service := state.Service{ID: "feed", Number: 1, IdleTimeout: time.Minute, Targets: []state.Target{
		{ID: "t1", Number: 2, Domain: "a", Weight: 1},
		{ID: "t2", Number: 3, Domain: "a", Weight: 1},
	}}
	input := snapshotInput{release: &state.Release{Version: 1, Services: []state.Service{service}}, ready: true}
	p.nextSnapshot(now, input)
	service.Targets = service.Targets[:1]
	input.release = &state.Release{Version: 2, Services: []state.Service{service}}
	p.nextSnapshot(now, input)
	require.Len(t, p.entries["feed"].Tables, 2)
	p.nextSnapshot(now.Add(time.Hour), input)
	require.Len(t, p.entries["feed"].Tables, 1)
}
