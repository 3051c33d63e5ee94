package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/stretchr/testify/require"
)

func TestWithdrawnTargetIsRetainedForRecordsOfOtherHosts(t *testing.T) {
	w := newRunningSimulation(t, 11, release.VariantCorrect, 2, 1)
	number := w.nodes[0].machine.Release().Services[0].Targets[0].Number
	withdraw := state.Note{ID: "second", Base: 1, Deadline: 10 * time.Second, WithdrawTargets: []state.TargetID{"feed-1"}}
	w.platform.submit(withdraw)
	require.True(t, w.runUntil(maxCatchUpTime, func() bool { return w.inForceEverywhere(2) }))
	entry := w.nodes[0].snapshot.Targets[number]
	require.NotNil(t, entry)
	require.True(t, entry.Withdrawn)
	w.platform.submit(addTargetNote("third", 2))
	require.True(t, w.runUntil(maxCatchUpTime, func() bool { return w.inForceEverywhere(3) }))
	require.Contains(t, w.nodes[0].snapshot.Targets, number)
	p := &w.nodes[0].machine.publisher
	p.sweep(w.now.Add(WithdrawnRetention + time.Minute))
	require.Empty(t, p.withdrawnAt)
	require.Less(t, targetIndex(p.entries["feed"].TargetEntries, number), 0)
	require.Len(t, p.entries["feed"].Tables, 1)
}

func TestAllHostsRestartFromTheCheckpoint(t *testing.T) {
	w := newRunningSimulation(t, 12, release.VariantCorrect, 2, 2)
	const last = 40
	for version := state.ReleaseVersion(2); version <= last; version++ {
		w.platform.submit(addTargetNote(fmt.Sprintf("note-%d", version), version-1))
		require.True(t, w.runUntil(maxCatchUpTime, func() bool { return w.inForceEverywhere(version) }), version)
	}
	w.runFor(5 * time.Second)
	head, _ := w.platform.head()
	require.GreaterOrEqual(t, head.Checkpoint, state.ReleaseVersion(last-release.CheckpointInterval+1))
	before := *w.nodes[0].machine.Release()
	for _, n := range w.nodes {
		w.kill(n)
	}
	w.runFor(time.Minute)
	for key := range w.platform.objects {
		if len(key) > len(objects.PrefixNotes) && key[:len(objects.PrefixNotes)] == objects.PrefixNotes {
			var note objects.Note
			mustDecode(w.platform.objects[key].Value, &note)
			if note.Content.Base < head.Checkpoint {
				delete(w.platform.objects, key)
			}
		}
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	require.True(t, w.runUntil(10*time.Second, func() bool { return w.inForceEverywhere(last) }))
	require.Equal(t, before, *w.nodes[0].machine.Release())
	require.Empty(t, w.invariants.violations)
}

func TestConcurrentNotesOneAcceptedAndNamed(t *testing.T) {
	w := newRunningSimulation(t, 13, release.VariantCorrect, 3, 2, 2)
	w.platform.submit(addTargetNote("second", 1))
	w.platform.submit(addTargetNote("rival", 1))
	require.True(t, w.runUntil(maxCatchUpTime, func() bool { return w.inForceEverywhere(2) }))
	w.platform.submit(addTargetNote("late", 1))
	head, version := w.platform.head()
	for id, winner := range map[state.NoteID]string{"rival": "second", "late": "second"} {
		decision, ok := head.Decision(id)
		require.True(t, ok)
		require.Equal(t, objects.NoteRefused, decision.State)
		require.Contains(t, decision.Reason, winner)
	}
	w.platform.submit(addTargetNote("second", 1))
	_, versionAfterRepeat := w.platform.head()
	require.Equal(t, version, versionAfterRepeat, "submitting the same note again changed the head")
}

func TestInvalidNoteIsRefused(t *testing.T) {
	for name, without := range map[string][]state.DomainID{
		"all domains count": nil,
		"no domain counts":  {"zone-a", "zone-b", "zone-c"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRunningSimulation(t, 14, release.VariantCorrect, 3, 2, 2)
			w.platform.submit(state.Note{
				ID: "second", Base: 1, Deadline: noteDeadline, Without: without,
				WithdrawTargets: []state.TargetID{"no-such-target"},
			})
			w.runFor(3 * time.Second)
			head, _ := w.platform.head()
			decision, _ := head.Decision("second")
			require.Equal(t, objects.NoteRefused, decision.State)
			require.Contains(t, decision.Reason, "no-such-target")
			require.True(t, w.inForceEverywhere(1))
			w.platform.submit(addTargetNote("third", 1))
			require.True(t, w.runUntil(maxCatchUpTime, func() bool { return w.inForceEverywhere(2) }))
			require.Empty(t, w.invariants.violations)
		})
	}
}

func TestLeaveStopsAtDeadlineWithoutHandover(t *testing.T) {
	w := newRunningSimulation(t, 15, release.VariantCorrect, 3, 2, 2)
	leaver := w.nodes[0]
	w.blockHandover = true
	w.deliver(leaver, leaver.run, LeaveRequested{})
	w.runFor(DefaultLeaveDeadline - time.Second)
	require.True(t, leaver.alive)
	require.True(t, leaver.snapshot.Leaving)
	w.runFor(2 * time.Second)
	require.True(t, leaver.stopped)
}
