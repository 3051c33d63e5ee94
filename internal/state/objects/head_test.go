package objects

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestHeadKeepsDecisionsSinceCheckpoint checks, for random histories, that a decision
// never changes and that a host starting from the checkpoint finds every later note.
func TestHeadKeepsDecisionsSinceCheckpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := Head{}
		decided := make(map[state.NoteID]NoteState)
		for index := range rapid.IntRange(1, 300).Draw(t, "steps") {
			id := state.NoteID(fmt.Sprintf("note-%d", index))
			base := head.Version
			if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				base++
			}
			version := head.Version
			next, changed := head.Submit(state.Note{ID: id, Base: base}, time.Time{})
			require.True(t, changed)
			_, again := next.Submit(state.Note{ID: id, Base: base}, time.Time{})
			require.False(t, again, "submitting a note again must not change the head")
			switch {
			case next.Pending == nil:
			case rapid.Bool().Draw(t, "accept"):
				next = next.Accept(time.Time{})
			default:
				next = next.Refuse("reason", time.Time{})
			}
			require.GreaterOrEqual(t, next.Version, version)
			if rapid.IntRange(0, 15).Draw(t, "checkpoint") == 0 {
				next.Checkpoint = next.Version
			}
			head = next
			for _, decision := range head.Decided {
				if previous, known := decided[decision.Note.ID]; known {
					require.Equal(t, previous, decision.State)
				}
				decided[decision.Note.ID] = decision.State
			}
			checkChain(t, head)
		}
	})
}

// checkChain checks that the head has every note accepted since the checkpoint, and
// does not retain more decisions than necessary.
func checkChain(t *rapid.T, head Head) {
	named := make(map[state.ReleaseVersion]bool)
	for _, decision := range head.Decided {
		if decision.State == NoteAccepted {
			named[decision.Note.Version] = true
		}
	}
	for version := head.Checkpoint + 1; version <= head.Version; version++ {
		require.True(t, named[version], "the note of release %d is missing", version)
	}
	require.LessOrEqual(t, len(head.Decided), max(MaxDecided, int(head.Version-head.Checkpoint)+1))
}
