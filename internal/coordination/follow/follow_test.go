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

// next returns the call that is due.
func next(t *testing.T, f *Follower, now time.Duration) objects.Call {
	call, due := f.Next(now)
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

// listed returns a follower that has read a list at a time.
func listed(t *testing.T, now time.Duration) *Follower {
	f := New(testSettings, half)
	f.Answer(now, next(t, f, now), page(7, false, "t1"))
	return f
}

func TestAListIsReadPageByPageThenPolled(t *testing.T) {
	f := New(testSettings, half)
	call := next(t, f, 0)
	require.Equal(t, objects.Call{Verb: objects.VerbList, Key: "targets"}, call)
	_, due := f.Next(0)
	require.False(t, due, "one call at a time")

	change := f.Answer(0, call, page(7, true, "t1", "t2"))
	require.Len(t, change.Objects, 2, "the first page counts at once")
	require.Nil(t, change.Listed)
	call = next(t, f, 0)
	require.Equal(t, "targets/t2", call.From)
	change = f.Answer(0, call, page(9, false, "t3"))
	require.Equal(t, map[string]bool{"t1": true, "t2": true, "t3": true}, change.Listed)
	require.True(t, f.Listed())

	call = next(t, f, testSettings.Interval)
	require.Equal(t, objects.Call{Verb: objects.VerbWatch, Key: "targets", After: 7}, call,
		"from the first page on: later pages may hold changes made meanwhile")
}

func TestALostHistoryIsReplacedByAList(t *testing.T) {
	f := listed(t, 0)
	now := testSettings.Interval
	f.Answer(now, next(t, f, now), objects.Outcome{Result: objects.ResultExpired})
	require.Equal(t, objects.VerbList, next(t, f, now).Verb)
}

func TestRevisionsNeverGoBack(t *testing.T) {
	f := listed(t, 0)
	now := testSettings.Interval
	f.Answer(now, next(t, f, now), page(12, false))
	now += testSettings.Interval
	f.Answer(now, next(t, f, now), page(3, false))
	require.EqualValues(t, 12, next(t, f, now+testSettings.Interval).After)
}

func TestAFailedListGoesOnWhereItWas(t *testing.T) {
	f := New(testSettings, half)
	f.Answer(0, next(t, f, 0), page(7, true, "t1"))
	f.Answer(0, next(t, f, 0), objects.Outcome{Result: objects.ResultUnknown})
	require.True(t, f.Failing())
	require.Equal(t, "targets/t1", next(t, f, time.Second).From)
}

// A stale list may be older than the store's history; the poll that follows then
// finds it gone. Later lists must not go back behind what is known.
func TestOnlyTheFirstListMayBeStaleAndAPollFollowsIt(t *testing.T) {
	settings := testSettings
	settings.StaleStart = true
	f := New(settings, half)
	call := next(t, f, 0)
	require.True(t, call.Stale)
	f.Answer(0, call, page(9, true, "t1"))
	f.Answer(0, next(t, f, 0), page(7, false, "t2"))
	call = next(t, f, 0)
	require.Equal(t, objects.Call{Verb: objects.VerbWatch, Key: "targets", After: 7}, call, "from the oldest page on, at once")
	f.Answer(0, call, objects.Outcome{Result: objects.ResultExpired})
	call = next(t, f, 0)
	require.Equal(t, objects.Call{Verb: objects.VerbList, Key: "targets"}, call)
	f.Answer(0, call, page(12, false, "t1", "t2"))
	_, due := f.Next(0)
	require.False(t, due)
}

func TestHurryMakesAPollDueWithinItsLimit(t *testing.T) {
	settings := testSettings
	settings.HurryInterval = 500 * time.Millisecond
	f := New(settings, half)
	f.Answer(0, next(t, f, 0), page(7, false, "t1"))
	f.Hurry(100 * time.Millisecond)
	at, _ := f.Due()
	require.Equal(t, settings.HurryInterval, at, "not sooner after the call before")
	call := next(t, f, at)
	f.Answer(at+10*time.Millisecond, call, page(8, false))
	require.Equal(t, at, f.ReadAt(), "what was written before the call is known")
	f.Hurry(2 * time.Second)
	again, _ := f.Due()
	require.Equal(t, 2*time.Second, again)
}

// In a sweep with 3,000 targets a host knew of a leaving one 6.4 s later: more had
// changed than one answer held, and the rest came a whole interval later.
func TestManyChangesAreFollowedByAPollAtOnce(t *testing.T) {
	f := listed(t, 0)
	now := testSettings.Interval
	keys := make([]string, manyChanges)
	f.Answer(now, next(t, f, now), page(50, false, keys...))
	require.Zero(t, f.ReadAt(), "the rest of what was written before is not known yet")
	require.EqualValues(t, 50, next(t, f, now).After)
	f.Answer(now, objects.Call{Verb: objects.VerbWatch}, page(51, false, keys[1:]...))
	require.Equal(t, now, f.ReadAt())
	_, due := f.Next(now)
	require.False(t, due)
}

// A change is known within the bound when a poll has just missed it, the next
// one times out and the one after it is answered.
func TestAChangeIsKnownWithinItsBound(t *testing.T) {
	const (
		bound    = 3 * time.Second
		interval = bound * 65 / 100
		timeout  = bound * 20 / 100
	)
	settings := testSettings
	settings.Interval = interval
	f := New(settings, func() float64 { return 0.999 })
	f.Answer(0, next(t, f, 0), page(7, false, "t1"))
	now := interval
	call := next(t, f, now)
	now += timeout
	require.True(t, f.Answer(now, call, objects.Outcome{Result: objects.ResultUnknown}).Failed)
	at, ok := f.Due()
	require.True(t, ok)
	require.Less(t, at, bound)
}

func TestBackOffIsBoundedAndRandom(t *testing.T) {
	for _, random := range []float64{0, 0.5, 0.999} {
		f := New(testSettings, func() float64 { return random })
		now := time.Duration(0)
		for range 40 {
			call := next(t, f, now)
			f.Answer(now, call, objects.Outcome{Result: objects.ResultRefused, RetryAfter: time.Hour})
			at, _ := f.Due()
			require.LessOrEqual(t, at-now, testSettings.RetryMax)
			now = at
		}
	}
}
