package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

var testSettings = Settings{
	Kind:     "targets",
	Interval: 2 * time.Second,
	RetryMin: 50 * time.Millisecond,
	RetryMax: 400 * time.Millisecond,
}

func half() float64 { return 0.5 }

// dueCall starts the call that is due and returns it.
func dueCall(t *testing.T, f *Follower, now time.Duration) objects.Call {
	call, _, due := f.Next(now)
	require.True(t, due)
	return call
}

func page(revision uint64, more bool, keys ...string) objects.Outcome {
	page := objects.Page{Revision: revision, More: more}
	for _, key := range keys {
		page.Objects = append(page.Objects, objects.Object{Key: key})
	}
	return objects.Outcome{Page: page}
}

// newListedFollower returns a follower that has read a whole list at the time now.
func newListedFollower(t *testing.T, now time.Duration) *Follower {
	f := New(testSettings, half)
	f.HandleStoreOutcome(now, dueCall(t, f, now), page(7, false, "t1"))
	return f
}

func TestListReadPageByPageThenPolled(t *testing.T) {
	f := New(testSettings, half)
	call := dueCall(t, f, 0)
	require.Equal(t, objects.Call{Verb: objects.VerbList, Key: "targets"}, call)
	_, _, due := f.Next(0)
	require.False(t, due, "only one call is in flight")

	change := f.HandleStoreOutcome(0, call, page(7, true, "t1", "t2"))
	require.Len(t, change.Objects, 2, "the objects of the first page are returned at once")
	require.Nil(t, change.AllKeys)
	call = dueCall(t, f, 0)
	require.Equal(t, "targets/t2", call.From)
	change = f.HandleStoreOutcome(0, call, page(9, false, "t3"))
	require.Equal(t, map[string]bool{"t1": true, "t2": true, "t3": true}, change.AllKeys)
	require.True(t, f.Listed())

	call = dueCall(t, f, testSettings.Interval)
	require.Equal(t, objects.Call{Verb: objects.VerbWatch, Key: "targets", After: 7}, call,
		"from the revision of the first page: later pages may hold later changes")
}

func TestExpiredHistoryIsReplacedByList(t *testing.T) {
	f := newListedFollower(t, 0)
	now := testSettings.Interval
	f.HandleStoreOutcome(now, dueCall(t, f, now), objects.Outcome{Result: objects.ResultExpired})
	require.Equal(t, objects.VerbList, dueCall(t, f, now).Verb)
}

func TestFailedListResumesAtSamePage(t *testing.T) {
	f := New(testSettings, half)
	f.HandleStoreOutcome(0, dueCall(t, f, 0), page(7, true, "t1"))
	f.HandleStoreOutcome(0, dueCall(t, f, 0), objects.Outcome{Result: objects.ResultUnknown})
	require.True(t, f.Failing())
	require.Equal(t, "targets/t1", dueCall(t, f, time.Second).From)
}

// A page may be older than the one before it.
func TestPollContinuesFromTheOldestPageOfAList(t *testing.T) {
	f := New(testSettings, half)
	f.HandleStoreOutcome(0, dueCall(t, f, 0), page(9, true, "t1"))
	f.HandleStoreOutcome(0, dueCall(t, f, 0), page(7, false, "t2"))
	call := dueCall(t, f, 0)
	require.Equal(t, objects.Call{Verb: objects.VerbWatch, Key: "targets", After: 7}, call, "at once")
	f.HandleStoreOutcome(0, call, objects.Outcome{Result: objects.ResultExpired})
	call = dueCall(t, f, 0)
	require.Equal(t, objects.Call{Verb: objects.VerbList, Key: "targets"}, call)
	f.HandleStoreOutcome(0, call, page(12, false, "t1", "t2"))
	_, _, due := f.Next(0)
	require.False(t, due)
}

func TestPollSoonHonorsMinPollInterval(t *testing.T) {
	settings := testSettings
	settings.MinPollInterval = 500 * time.Millisecond
	f := New(settings, half)
	f.HandleStoreOutcome(0, dueCall(t, f, 0), page(7, false, "t1"))
	f.PollSoon(100 * time.Millisecond)
	at, _ := f.Due()
	require.Equal(t, settings.MinPollInterval, at, "not sooner than MinPollInterval after the previous call")
	call := dueCall(t, f, at)
	f.HandleStoreOutcome(at+10*time.Millisecond, call, page(8, false))
	require.Equal(t, at, f.CompleteAsOf(), "changes made before the call are known")
	f.PollSoon(2 * time.Second)
	again, _ := f.Due()
	require.Equal(t, 2*time.Second, again)
}

// With 3,000 targets a host learned 6.4 s late that a target was leaving: more objects
// had changed than one answer held, and the rest came only with the poll one interval
// later.
func TestPossiblyTruncatedAnswerIsPolledAgainAtOnce(t *testing.T) {
	f := newListedFollower(t, 0)
	now := testSettings.Interval
	keys := make([]string, truncationThreshold)
	f.HandleStoreOutcome(now, dueCall(t, f, now), page(50, false, keys...))
	require.Zero(t, f.CompleteAsOf(), "the rest of the earlier changes is not known yet")
	require.EqualValues(t, 50, dueCall(t, f, now).After)
	f.HandleStoreOutcome(now, objects.Call{Verb: objects.VerbWatch}, page(51, false, keys[1:]...))
	require.Equal(t, now, f.CompleteAsOf())
	_, _, due := f.Next(now)
	require.False(t, due)
}

// A change is known within the bound even if one poll has just missed it and the next
// one times out, provided that the one after it is answered.
func TestChangeKnownWithinBoundAfterStoreTimeout(t *testing.T) {
	const (
		bound    = 3 * time.Second
		interval = bound * 65 / 100
		timeout  = bound * 20 / 100
	)
	settings := testSettings
	settings.Interval = interval
	f := New(settings, func() float64 { return 0.999 })
	f.HandleStoreOutcome(0, dueCall(t, f, 0), page(7, false, "t1"))
	now := interval
	call := dueCall(t, f, now)
	now += timeout
	require.True(t, f.HandleStoreOutcome(now, call, objects.Outcome{Result: objects.ResultUnknown}).Failed)
	at, ok := f.Due()
	require.True(t, ok)
	require.Less(t, at, bound)
}

func TestBackoffIsBounded(t *testing.T) {
	for _, random := range []float64{0, 0.5, 0.999} {
		f := New(testSettings, func() float64 { return random })
		now := time.Duration(0)
		for range 40 {
			call := dueCall(t, f, now)
			f.HandleStoreOutcome(now, call, objects.Outcome{Result: objects.ResultRefused, RetryAfter: time.Hour})
			at, _ := f.Due()
			require.LessOrEqual(t, at-now, testSettings.RetryMax)
			now = at
		}
	}
}

// newFollowerWithPeer returns a follower that has a peer to poll and has read the store
// at the time now.
func newFollowerWithPeer(t *testing.T, now time.Duration) *Follower {
	settings := testSettings
	settings.ServingInterval = 1000 * time.Millisecond
	settings.PeerPollAge = 1600 * time.Millisecond
	f := New(settings, half)
	f.SetPeerStatus(now, true, false)
	f.HandleStoreOutcome(now, dueCall(t, f, now), page(7, false, "t1"))
	return f
}

// dueSource starts the call that is due and returns its source.
func dueSource(t *testing.T, f *Follower, now time.Duration) Source {
	_, source, due := f.Next(now)
	require.True(t, due)
	return source
}

var expectedPoll = objects.Call{Verb: objects.VerbWatch, Key: "targets", After: 7}

func TestPeerIsPolledBeforeStore(t *testing.T) {
	f := newFollowerWithPeer(t, 0)
	now, _ := f.Due()
	require.Equal(t, f.settings.PeerPollAge, now)
	require.Equal(t, SourcePeer, dueSource(t, f, now))
	change, unusable := f.HandlePeerOutcome(now, expectedPoll, page(9, false, "t2"), 400*time.Millisecond)
	require.False(t, unusable)
	require.Len(t, change.Objects, 1)
	require.Equal(t, now-400*time.Millisecond, f.CompleteAsOf(), "as old as the peer's data")
	due, _ := f.Due()
	require.Equal(t, f.CompleteAsOf()+f.settings.PeerPollAge, due)
}

func TestStoreIsPolledAtOnceAfterUnusablePeerAnswer(t *testing.T) {
	for name, answer := range map[string]struct {
		outcome objects.Outcome
		age     time.Duration
	}{
		"silent":  {outcome: objects.Outcome{Result: objects.ResultUnknown}},
		"too old": {outcome: page(9, false, "t2"), age: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFollowerWithPeer(t, 0)
			now, _ := f.Due()
			require.Equal(t, SourcePeer, dueSource(t, f, now))
			_, unusable := f.HandlePeerOutcome(now, expectedPoll, answer.outcome, answer.age)
			require.True(t, unusable)
			require.Equal(t, SourceStore, dueSource(t, f, now))
			f.HandleStoreOutcome(now, expectedPoll, page(10, false))
			require.Equal(t, now, f.CompleteAsOf())
			later, _ := f.Due()
			require.Equal(t, SourcePeer, dueSource(t, f, later), "a new cycle starts with the peer")
		})
	}
}

// The store refuses this host's calls and answers others: a peer keeps the host
// current, and its own calls to the store show when that answers again.
func TestHostRefusedByStoreStaysCurrentThroughPeer(t *testing.T) {
	f := newFollowerWithPeer(t, 0)
	f.PollSoon(f.settings.PeerPollAge)
	now := f.settings.PeerPollAge
	for range 20 {
		require.Equal(t, SourceStore, dueSource(t, f, now))
		require.True(t, f.HandleStoreOutcome(now, expectedPoll, objects.Outcome{Result: objects.ResultRefused}).Failed)
		require.Equal(t, SourcePeer, dueSource(t, f, now), "the peer is polled at once")
		_, unusable := f.HandlePeerOutcome(now, expectedPoll, page(9, false), 300*time.Millisecond)
		require.False(t, unusable)
		require.Less(t, now-f.CompleteAsOf(), 3*time.Second)
		now, _ = f.Due()
	}
	require.Equal(t, SourceStore, dueSource(t, f, now))
	f.HandleStoreOutcome(now, expectedPoll, page(12, false))
	now, _ = f.Due()
	require.Equal(t, SourcePeer, dueSource(t, f, now))
}

// While the store fails for all hosts, every cycle of calls ends with a backoff.
func TestBackoffWhenStoreAndPeersFail(t *testing.T) {
	f := newFollowerWithPeer(t, 0)
	now, _ := f.Due()
	for range 20 {
		began := now
		for range 2 {
			if dueSource(t, f, now) == SourceStore {
				f.HandleStoreOutcome(now, expectedPoll, objects.Outcome{Result: objects.ResultUnknown})
			} else {
				f.HandlePeerOutcome(now, expectedPoll, page(9, false), time.Minute)
			}
			due, _ := f.Due()
			now = max(now, due)
		}
		require.Greater(t, now, began)
		require.LessOrEqual(t, now-began, testSettings.RetryMax)
	}
}

// A host that starts while the store fails gets the whole list from a peer.
func TestFirstListComesFromPeerWhileStoreFails(t *testing.T) {
	f := New(testSettings, half)
	f.SetPeerStatus(0, true, false)
	list := objects.Call{Verb: objects.VerbList, Key: "targets"}
	require.Equal(t, SourceStore, dueSource(t, f, 0))
	f.HandleStoreOutcome(0, list, objects.Outcome{Result: objects.ResultUnknown})
	require.Equal(t, SourcePeer, dueSource(t, f, 0))
	change, _ := f.HandlePeerOutcome(0, list, page(9, false, "t1"), time.Minute)
	require.True(t, f.Listed())
	require.Equal(t, map[string]bool{"t1": true}, change.AllKeys)
	require.Zero(t, f.CompleteAsOf(), "changes since the peer read the list are not known")
	require.Equal(t, SourceStore, dueSource(t, f, 0))
}

// A list that replaces an expired history must not be older than the known data.
func TestListAfterExpiredHistoryComesFromStore(t *testing.T) {
	f := newFollowerWithPeer(t, 0)
	now, _ := f.Due()
	dueSource(t, f, now)
	f.HandlePeerOutcome(now, expectedPoll, objects.Outcome{Result: objects.ResultUnknown}, 0)
	dueSource(t, f, now)
	f.HandleStoreOutcome(now, expectedPoll, objects.Outcome{Result: objects.ResultExpired})
	for range 5 {
		require.Equal(t, SourceStore, dueSource(t, f, now))
		f.HandleStoreOutcome(now, objects.Call{Verb: objects.VerbList}, objects.Outcome{Result: objects.ResultUnknown})
		now, _ = f.Due()
	}
}

// A host that others poll polls the store itself, soon after their first poll.
func TestServingHostPollsStore(t *testing.T) {
	f := newFollowerWithPeer(t, 0)
	f.SetPeerStatus(1200*time.Millisecond, true, true)
	now, _ := f.Due()
	require.Equal(t, 1200*time.Millisecond, now)
	require.Equal(t, SourceStore, dueSource(t, f, now))
	f.HandleStoreOutcome(now, expectedPoll, page(9, false))
	again, _ := f.Due()
	require.Equal(t, now+f.settings.ServingInterval, again)
	require.Equal(t, SourceStore, dueSource(t, f, again))
}

// A change is known within the bound even if the peer's data just misses it, the peer
// then stops answering and the store's answer is lost.
func TestChangeKnownWithinBoundThroughPeer(t *testing.T) {
	const (
		bound        = 3 * time.Second
		peerTimeout  = bound * 5 / 100
		storeTimeout = bound * 20 / 100
	)
	settings := testSettings
	settings.ServingInterval = bound * 35 / 100
	settings.PeerPollAge = bound * 55 / 100
	f := New(settings, func() float64 { return 0.999 })
	f.SetPeerStatus(0, true, false)
	f.HandleStoreOutcome(0, dueCall(t, f, 0), page(7, false, "t1"))
	now, _ := f.Due()
	require.Equal(t, SourcePeer, dueSource(t, f, now))
	f.HandlePeerOutcome(now, expectedPoll, page(8, false), settings.ServingInterval)
	readAt := f.CompleteAsOf()
	now, _ = f.Due()
	require.Equal(t, SourcePeer, dueSource(t, f, now))
	now += peerTimeout
	f.HandlePeerOutcome(now, expectedPoll, objects.Outcome{Result: objects.ResultUnknown}, 0)
	require.Equal(t, SourceStore, dueSource(t, f, now))
	now += storeTimeout
	f.SetPeerStatus(now, false, false)
	f.HandleStoreOutcome(now, expectedPoll, objects.Outcome{Result: objects.ResultUnknown})
	now, _ = f.Due()
	require.Equal(t, SourceStore, dueSource(t, f, now))
	require.Less(t, now-readAt, bound-storeTimeout/2)
}

// newWatchingFollower returns a follower that has read a whole list and whose polls of the
// store wait for a change.
func newWatchingFollower(t *testing.T) *Follower {
	settings := testSettings
	settings.Watch = time.Second
	settings.ServingInterval = time.Second
	settings.PeerPollAge = 1600 * time.Millisecond
	f := New(settings, half)
	f.HandleStoreOutcome(0, dueCall(t, f, 0), page(7, false, "t1"))
	return f
}

func TestPollOfTheStoreWaitsForAChange(t *testing.T) {
	f := newWatchingFollower(t)
	at, _ := f.Due()
	call := dueCall(t, f, at)
	require.Equal(t, time.Second, call.Wait)
	f.HandleStoreOutcome(at+time.Second, call, page(7, false))
	next, _ := f.Due()
	require.Equal(t, at+time.Second, next, "the next poll follows at once")
	call = dueCall(t, f, next)
	f.HandleStoreOutcome(next+time.Millisecond, call, page(8, false, "t2"))
	again, _ := f.Due()
	require.Equal(t, next+minWatchInterval, again, "a series of changes does not cost a call each")
}

func TestPollThatShowsRecoveryDoesNotWait(t *testing.T) {
	f := newWatchingFollower(t)
	at, _ := f.Due()
	f.HandleStoreOutcome(at, dueCall(t, f, at), objects.Outcome{Result: objects.ResultUnknown})
	at, _ = f.Due()
	require.Zero(t, dueCall(t, f, at).Wait)
}

func TestNoticeOfAPeerMakesAPollDue(t *testing.T) {
	f := newWatchingFollower(t)
	f.SetPeerStatus(0, true, false)
	at, _ := f.Due()
	call, _, _ := f.Next(at)
	f.PollPeerSoon(at)
	f.HandlePeerOutcome(at, call, page(7, false), 0)
	next, ok := f.Due()
	require.True(t, ok)
	require.Equal(t, at, next, "the answer may be from before the change")
	call, source, due := f.Next(next)
	require.True(t, due)
	require.Equal(t, SourcePeer, source)
	f.HandlePeerOutcome(next, call, page(8, false, "t2"), 0)
	later, _ := f.Due()
	require.Greater(t, later, next)
	f.PollPeerSoon(next + time.Millisecond)
	later, _ = f.Due()
	require.Equal(t, next+time.Millisecond, later)
}
