package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// inEra returns an outcome as of an era of the store.
func inEra(era objects.Era, outcome objects.Outcome) objects.Outcome {
	outcome.Era = era
	return outcome
}

// newEraFollower returns a follower that has read a whole list of era 1 at the time now,
// and a call that is in flight after its next poll is due.
func newEraFollower(t *testing.T, now time.Duration) (*Follower, objects.Call) {
	f := New(testSettings, half)
	f.HandleStoreOutcome(now, dueCall(t, f, now), inEra(1, page(100, false, "t1", "t2")))
	return f, dueCall(t, f, now+testSettings.Interval)
}

// The store was restored at revision 90 and has passed 100 again: without the era, the
// changes up to 100 would never be read.
func TestNewEraIsListedThoughRevisionsHavePassedTheKnownOne(t *testing.T) {
	f, poll := newEraFollower(t, 0)
	now := testSettings.Interval
	change := f.HandleStoreOutcome(now, poll, inEra(2, page(105, false, "t3")))
	require.Equal(t, Change{}, change, "changes since a revision of another era say nothing")
	list := dueCall(t, f, now)
	require.Equal(t, objects.VerbList, list.Verb)
	change = f.HandleStoreOutcome(now, list, inEra(2, page(106, true, "t1")))
	require.Empty(t, change.Objects, "held until the list is whole")
	change = f.HandleStoreOutcome(now, dueCall(t, f, now), inEra(2, page(106, false, "t3")))
	require.True(t, change.Restored)
	require.Len(t, change.Objects, 2)
	require.Equal(t, map[string]bool{"t1": true, "t3": true}, change.AllKeys)
	require.EqualValues(t, 2, f.Era())
	poll = dueCall(t, f, now)
	require.EqualValues(t, 106, poll.After)
	require.EqualValues(t, 2, poll.Era)
}

func TestListOfTwoErasStartsAgain(t *testing.T) {
	f, poll := newEraFollower(t, 0)
	now := testSettings.Interval
	f.HandleStoreOutcome(now, poll, inEra(2, objects.Outcome{Result: objects.ResultExpired}))
	f.HandleStoreOutcome(now, dueCall(t, f, now), inEra(2, page(95, true, "t1")))
	f.HandleStoreOutcome(now, dueCall(t, f, now), inEra(3, page(93, false, "t2")))
	list := dueCall(t, f, now)
	require.Empty(t, list.From)
	change := f.HandleStoreOutcome(now, list, inEra(3, page(93, false, "t2")))
	require.True(t, change.Restored)
	require.Equal(t, map[string]bool{"t2": true}, change.AllKeys)
	require.Len(t, change.Objects, 1, "nothing of the page of era 2")
}

func TestAnswerOfAnEarlierEraIsNotUsed(t *testing.T) {
	f := New(testSettings, half)
	f.HandleStoreOutcome(0, dueCall(t, f, 0), inEra(2, page(100, false, "t1")))
	now := testSettings.Interval
	for range maxOldAnswers - 1 {
		change := f.HandleStoreOutcome(now, dueCall(t, f, now), inEra(1, page(120, false, "t2")))
		require.True(t, change.Failed)
		require.Empty(t, change.Objects)
		now += testSettings.Interval
	}
	require.EqualValues(t, 2, f.Era())
	f.HandleStoreOutcome(now, dueCall(t, f, now), inEra(1, page(120, false)))
	require.Equal(t, objects.VerbList, dueCall(t, f, now).Verb, "the store insists: the known era was wrong")
}

func TestRestoredStoreWithoutEraIsListed(t *testing.T) {
	f := newListedFollower(t, 0)
	now := testSettings.Interval
	f.HandleStoreOutcome(now, dueCall(t, f, now), page(12, false))
	now += testSettings.Interval
	change := f.HandleStoreOutcome(now, dueCall(t, f, now), page(3, false, "t9"))
	require.Empty(t, change.Objects, "older than what was asked for")
	change = f.HandleStoreOutcome(now, dueCall(t, f, now), page(3, false, "t1"))
	require.True(t, change.Restored)
	require.EqualValues(t, 3, f.Revision())
}

func TestHistoryGoneAfterRestoreWithoutEraReplacesAll(t *testing.T) {
	f := newListedFollower(t, 0)
	now := testSettings.Interval
	f.HandleStoreOutcome(now, dueCall(t, f, now), objects.Outcome{Result: objects.ResultExpired})
	require.True(t, f.HandleStoreOutcome(now, dueCall(t, f, now), page(5, false, "t1")).Restored)
}

func TestPeerOfAnotherEra(t *testing.T) {
	settings := testSettings
	settings.PeerPollAge = time.Second
	f := New(settings, half)
	f.SetPeerStatus(0, true, false)
	f.HandleStoreOutcome(0, dueCall(t, f, 0), inEra(2, page(100, false, "t1")))

	call, source, _ := f.Next(time.Second)
	require.Equal(t, SourcePeer, source)
	change, unusable := f.HandlePeerOutcome(time.Second, call, inEra(1, page(120, false, "t2")), 0)
	require.True(t, unusable)
	require.Empty(t, change.Objects, "older truth")
	require.EqualValues(t, 2, f.Era())
	call, source, _ = f.Next(time.Second)
	require.Equal(t, SourceStore, source)
	f.HandleStoreOutcome(time.Second, call, inEra(2, page(100, false)))

	call, source, _ = f.Next(2 * time.Second)
	require.Equal(t, SourcePeer, source)
	_, unusable = f.HandlePeerOutcome(2*time.Second, call, inEra(3, objects.Outcome{Result: objects.ResultAbsent}), 0)
	require.True(t, unusable)
	call, source, _ = f.Next(2 * time.Second)
	require.Equal(t, SourceStore, source, "only the store proves a new era")
	require.Equal(t, objects.VerbList, call.Verb)
	require.EqualValues(t, 2, f.Era())
	require.True(t, f.HandleStoreOutcome(2*time.Second, call, inEra(3, page(95, false, "t1"))).Restored)
}

// A peer of the same era may be behind this host.
func TestRevisionNeverDecreasesByAPeer(t *testing.T) {
	f := newFollowerWithPeer(t, 0)
	now, _ := f.Due()
	require.Equal(t, SourcePeer, dueSource(t, f, now))
	f.HandlePeerOutcome(now, expectedPoll, page(12, false), 0)
	now, _ = f.Due()
	require.Equal(t, SourcePeer, dueSource(t, f, now))
	f.HandlePeerOutcome(now, expectedPoll, page(3, false), 0)
	now, _ = f.Due()
	call, _, due := f.Next(now)
	require.True(t, due)
	require.EqualValues(t, 12, call.After)
}
