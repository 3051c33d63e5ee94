// Package follow decides when and how to read one kind of objects from the
// store, so that a change there is known within a bound on every kind of outage.
// A list is followed by polls for what changed since. A poll returns at once: a
// watch that waits for the next change costs a call for each change and host,
// and one that hears nothing may have been cut off without a sign.
package follow

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Settings of a Follower.
type Settings struct {
	// Kind is the kind of objects to follow.
	Kind string
	// StaleStart allows the first list to be answered from old data, which costs
	// the store less. The poll that follows at once brings what the list lacks.
	StaleStart bool
	// Interval is the time from the answer of a poll to the next poll.
	Interval time.Duration
	// HurryInterval is the least time from one poll to another that Hurry asks for.
	HurryInterval time.Duration
	// RetryMin and RetryMax bound the time to the next call after a failure.
	RetryMin time.Duration
	RetryMax time.Duration
}

// Random returns a number from 0 to 1, 1 excluded.
type Random func() float64

// Follower follows one kind. It is not safe for concurrent use. Times are
// counted from the start of the process.
type Follower struct {
	settings Settings
	random   Random
	// revision is what the next poll starts after, once listed.
	revision uint64
	listed   bool
	// from and seen belong to a list that is being read page by page.
	from string
	seen map[string]bool

	busy bool
	// asked is when the call that runs was made; readAt is when the newest poll was
	// made whose answer held all that had changed.
	asked    time.Duration
	readAt   time.Duration
	due      time.Duration
	failures int
	lastGood time.Duration
}

// New returns a follower whose first call is due at once.
func New(settings Settings, random Random) *Follower {
	return &Follower{settings: settings, random: random}
}

// Listed tells that a complete list has been read since the start.
func (f *Follower) Listed() bool { return f.listed }

// Failing tells that the newest call failed.
func (f *Follower) Failing() bool { return f.failures > 0 }

// LastGood is when the store was last known to have answered.
func (f *Follower) LastGood() time.Duration { return f.lastGood }

// ReadAt is when the newest poll was asked for whose answer was whole: what was
// written before is known.
func (f *Follower) ReadAt() time.Duration { return f.readAt }

// Hurry makes the next poll due soon: at once, but not more often than the least
// interval.
func (f *Follower) Hurry(now time.Duration) {
	if f.listed && f.failures == 0 {
		f.due = min(f.due, max(now, f.asked+f.settings.HurryInterval))
	}
}

// Due returns when the next call is to be made; ok is false while one runs.
func (f *Follower) Due() (at time.Duration, ok bool) { return f.due, !f.busy }

// Next returns the call to make if one is due.
func (f *Follower) Next(now time.Duration) (objects.Call, bool) {
	if f.busy || now < f.due {
		return objects.Call{}, false
	}
	f.busy = true
	f.asked = now
	if !f.listed || f.seen != nil {
		return f.list(), true
	}
	return objects.Call{Verb: objects.VerbWatch, Key: f.settings.Kind, After: f.revision}, true
}

func (f *Follower) list() objects.Call {
	if f.seen == nil {
		f.seen = make(map[string]bool)
		f.from = ""
	}
	// A later list must not go back behind what is known already.
	stale := f.settings.StaleStart && !f.listed
	return objects.Call{Verb: objects.VerbList, Key: f.settings.Kind, From: f.from, Stale: stale}
}

// Change is what a call brought.
type Change struct {
	// Objects are new, changed or deleted.
	Objects []objects.Object
	// Listed is set at the end of a list: the names of all objects there are.
	Listed map[string]bool
	// Failed tells that the store gave no answer to use.
	Failed bool
}

// Answer takes the outcome of the call made last.
func (f *Follower) Answer(now time.Duration, call objects.Call, outcome objects.Outcome) Change {
	f.busy = false
	switch outcome.Result {
	case objects.ResultOK:
		f.failures = 0
		f.lastGood = now
		if call.Verb == objects.VerbList {
			return f.tookPage(now, outcome.Page)
		}
		return f.tookEvents(now, outcome.Page)
	case objects.ResultExpired:
		f.failures = 0
		f.lastGood = now
		f.due = now
		f.seen = make(map[string]bool)
		f.from = ""
		return Change{}
	}
	f.failed(now, outcome.RetryAfter)
	return Change{Failed: true}
}

func (f *Follower) tookPage(now time.Duration, page objects.Page) Change {
	change := Change{Objects: page.Objects}
	for _, object := range page.Objects {
		f.seen[object.Key] = true
	}
	if f.from == "" || page.Revision < f.revision {
		// Changes made since the oldest page come by the next poll.
		f.revision = page.Revision
	}
	f.due = now
	if page.More && len(page.Objects) > 0 {
		f.from = f.settings.Kind + "/" + page.Objects[len(page.Objects)-1].Key
		return change
	}
	change.Listed = f.seen
	f.seen = nil
	if f.listed || !f.settings.StaleStart {
		f.due = now + f.settings.Interval
	}
	f.listed = true
	return change
}

func (f *Follower) tookEvents(now time.Duration, page objects.Page) Change {
	f.revision = max(f.revision, page.Revision)
	f.due = now
	if !page.More && len(page.Objects) < manyChanges {
		f.readAt = f.asked
		f.due = now + f.settings.Interval
	}
	return Change{Objects: page.Objects}
}

// manyChanges in one answer may be a part of what changed: the store bounds the
// size of its answers. It is below the 50 objects that its pages hold at least.
const manyChanges = 40

// maxDoublings bounds the growth of the back-off.
const maxDoublings = 10

// failed sets the time of the next call: random up to an end that doubles.
func (f *Follower) failed(now, retryAfter time.Duration) {
	end := min(f.settings.RetryMax, f.settings.RetryMin<<min(f.failures, maxDoublings))
	f.failures++
	f.due = now + max(min(retryAfter, f.settings.RetryMax), time.Duration(f.random()*float64(end)))
}
