package lookup

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
)

func TestAnEntryTellsWhenTablesAreMissing(t *testing.T) {
	contested := state.Service{ID: "s", Number: 1, Way: state.WayContested, Targets: []state.Target{
		{ID: "a", Number: 2, Weight: 1}, {ID: "b", Number: 3, Weight: 1},
	}}
	changed := func(s state.Service, changes uint32) state.Service {
		s.Targets = s.Targets[:1]
		s.Changes = changes
		return s
	}
	reverted := contested
	reverted.Changes = 2
	owner := contested
	owner.Way = state.WayOwner
	cases := []struct {
		name          string
		before, after state.Service
		truncated     bool
	}{
		{"each change seen", contested, changed(contested, 1), false},
		{"a change skipped", contested, changed(contested, 2), true},
		{"changed and changed back", contested, reverted, true},
		{"placed freely before", owner, changed(contested, 1), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			entry := Carry(Carry(nil, c.before, 1), c.after, 2)
			require.Equal(t, c.truncated, entry.Truncated)
			require.Equal(t, c.truncated, Carry(entry, changed(c.after, c.after.Changes+1), 3).Truncated)
		})
	}
	require.True(t, Carry(nil, changed(contested, 1), 5).Truncated)
	require.False(t, Carry(nil, contested, 5).Truncated)
}
