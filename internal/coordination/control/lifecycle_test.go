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

func TestWithdrawnTargetStaysForRecordsOfOtherHosts(t *testing.T) {
	w := settled(t, 11, release.VariantSound, 2, 1)
	number := w.nodes[0].core.Release().Services[0].Targets[0].Number
	withdraw := state.Note{ID: "second", Base: 1, Deadline: 10 * time.Second, WithdrawTargets: []state.TargetID{"feed-1"}}
	w.store.submit(withdraw)
	require.True(t, w.until(catchUp, func() bool { return w.inForce(2) }))
	entry := w.nodes[0].snapshot.Targets[number]
	require.NotNil(t, entry)
	require.True(t, entry.Withdrawn)
	w.store.submit(nextNote("third", 2))
	require.True(t, w.until(catchUp, func() bool { return w.inForce(3) }))
	require.Contains(t, w.nodes[0].snapshot.Targets, number)
	p := &w.nodes[0].core.publisher
	p.sweep(w.now.Add(WithdrawnRetention + time.Minute))
	require.Empty(t, p.withdrawnAt)
	require.Less(t, targetIndex(p.entries["feed"].TargetEntries, number), 0)
	require.Len(t, p.entries["feed"].Tables, 1)
}

func TestAllHostsRestartFromTheCheckpoint(t *testing.T) {
	w := settled(t, 12, release.VariantSound, 2, 2)
	const last = 40
	for version := state.ReleaseVersion(2); version <= last; version++ {
		w.store.submit(nextNote(fmt.Sprintf("note-%d", version), version-1))
		require.True(t, w.until(catchUp, func() bool { return w.inForce(version) }), version)
	}
	w.run(5 * time.Second)
	head, _ := w.store.head()
	require.GreaterOrEqual(t, head.Checkpoint, state.ReleaseVersion(last-release.CheckpointInterval+1))
	before := *w.nodes[0].core.Release()
	for _, n := range w.nodes {
		w.kill(n)
	}
	w.run(time.Minute)
	for key := range w.store.objects {
		if len(key) > len(objects.PrefixNotes) && key[:len(objects.PrefixNotes)] == objects.PrefixNotes {
			var note objects.Note
			mustDecode(w.store.objects[key].Value, &note)
			if note.Content.Base < head.Checkpoint {
				delete(w.store.objects, key)
			}
		}
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	require.True(t, w.until(10*time.Second, func() bool { return w.inForce(last) }))
	require.Equal(t, before, *w.nodes[0].core.Release())
	require.Empty(t, w.promises.broken)
}

func TestRacingOperatorsOneWinsAndIsNamed(t *testing.T) {
	w := settled(t, 13, release.VariantSound, 3, 2, 2)
	w.store.submit(nextNote("second", 1))
	w.store.submit(nextNote("rival", 1))
	require.True(t, w.until(catchUp, func() bool { return w.inForce(2) }))
	w.store.submit(nextNote("late", 1))
	head, version := w.store.head()
	for id, winner := range map[state.NoteID]string{"rival": "second", "late": "second"} {
		decision, ok := head.Decision(id)
		require.True(t, ok)
		require.Equal(t, objects.NoteRefused, decision.State)
		require.Contains(t, decision.Reason, winner)
	}
	w.store.submit(nextNote("second", 1))
	_, again := w.store.head()
	require.Equal(t, version, again, "a repeated note changes nothing")
}

func TestFaultyNoteIsRefusedEverywhere(t *testing.T) {
	for name, without := range map[string][]state.DomainID{
		"all domains count": nil,
		"no domain counts":  {"zone-a", "zone-b", "zone-c"},
	} {
		t.Run(name, func(t *testing.T) {
			w := settled(t, 14, release.VariantSound, 3, 2, 2)
			w.store.submit(state.Note{
				ID: "second", Base: 1, Deadline: noteDeadline, Without: without,
				WithdrawTargets: []state.TargetID{"no-such-target"},
			})
			w.run(3 * time.Second)
			head, _ := w.store.head()
			decision, _ := head.Decision("second")
			require.Equal(t, objects.NoteRefused, decision.State)
			require.Contains(t, decision.Reason, "no-such-target")
			require.True(t, w.inForce(1))
			w.store.submit(nextNote("third", 1))
			require.True(t, w.until(catchUp, func() bool { return w.inForce(2) }))
			require.Empty(t, w.promises.broken)
		})
	}
}

func TestLeaveEndsAtItsDeadlineThoughRecordsStay(t *testing.T) {
	w := settled(t, 15, release.VariantSound, 3, 2, 2)
	leaver := w.nodes[0]
	w.keepRecords = true
	w.deliver(leaver, leaver.run, LeaveRequested{})
	w.run(DefaultLeaveDeadline - time.Second)
	require.True(t, leaver.alive)
	require.True(t, leaver.snapshot.Leaving)
	w.run(2 * time.Second)
	require.True(t, leaver.stopped)
}
