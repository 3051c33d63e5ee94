package follow

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Change is what a call brought.
type Change struct {
	// Objects are new, changed or deleted.
	Objects []objects.Object
	// AllKeys is set at the end of a list: the names of all objects there are.
	AllKeys map[string]bool
	// Complete tells that every change up to Revision is known.
	Complete bool
	// Failed tells that the store gave no answer to use.
	Failed bool
}

// HandleStoreOutcome takes the outcome of the call made last, to the store.
func (f *Follower) HandleStoreOutcome(now time.Duration, call objects.Call, outcome objects.Outcome) Change {
	f.busy = false
	switch outcome.Result {
	case objects.ResultOK:
		f.failures = 0
		f.lastGood = now
		change := f.took(now, call, outcome.Page, SourceStore, 0)
		f.begin()
		return change
	case objects.ResultExpired:
		f.failures = 0
		f.lastGood = now
		f.due = now
		f.seen = make(map[string]bool)
		f.from = ""
		f.begin()
		return Change{}
	}
	f.failed(now, outcome.RetryAfter)
	return Change{Failed: true}
}

// HandlePeerOutcome takes the outcome of the call made last, to another host. Age is that
// of what the other host told. Behind tells that it was of no use: no answer came,
// or one that is too old to go on with.
func (f *Follower) HandlePeerOutcome(now time.Duration, call objects.Call, outcome objects.Outcome, age time.Duration) (change Change, behind bool) {
	f.busy = false
	if outcome.Result != objects.ResultOK {
		f.peerFailed(now)
		return Change{}, true
	}
	change = f.took(now, call, outcome.Page, SourcePeer, age)
	if call.Verb == objects.VerbWatch && f.due <= now && !outcome.Page.More {
		f.peerFailed(now)
		return change, true
	}
	f.begin()
	return change, false
}

// begin starts a cycle of calls anew.
func (f *Follower) begin() {
	f.second = false
	f.next = f.first()
}

// peerFailed goes on with the store, or pauses if that failed just before.
func (f *Follower) peerFailed(now time.Duration) {
	if !f.second {
		f.second = true
		f.next = SourceStore
		f.due = now
		return
	}
	f.begin()
	f.due = now + f.pause()
}

// took takes a page that is of an age.
func (f *Follower) took(now time.Duration, call objects.Call, page objects.Page, from Source, age time.Duration) Change {
	if call.Verb == objects.VerbList {
		return f.tookPage(now, page, from == SourceStore && !call.Stale)
	}
	f.revision = max(f.revision, page.Revision)
	f.due = now
	whole := !page.More && (from == SourcePeer || len(page.Objects) < manyChanges)
	if whole {
		f.whole = true
		f.readAt = max(f.readAt, f.asked-age)
		f.due = f.nextPoll(now, from)
	}
	return Change{Objects: page.Objects, Complete: whole}
}

// tookPage takes a page of a list. Fresh tells that it holds the objects as they were
// when it was asked for.
func (f *Follower) tookPage(now time.Duration, page objects.Page, fresh bool) Change {
	change := Change{Objects: page.Objects}
	for _, object := range page.Objects {
		f.seen[object.Key] = true
	}
	first := f.from == ""
	if first || page.Revision < f.revision {
		// Changes made since the oldest page come by the next poll.
		f.revision = page.Revision
	}
	f.due = now
	if page.More && len(page.Objects) > 0 {
		f.from = f.settings.Kind + "/" + page.Objects[len(page.Objects)-1].Key
		return change
	}
	change.AllKeys = f.seen
	change.Complete = first && fresh
	f.seen = nil
	if change.Complete {
		f.whole = true
		f.readAt = f.asked
		f.due = f.nextPoll(now, SourceStore)
	}
	f.listed = true
	return change
}

// nextPoll is when the next poll is due after one whose answer was whole.
func (f *Follower) nextPoll(now time.Duration, from Source) time.Duration {
	switch {
	case from == SourceStore && f.serving:
		return now + f.settings.ServingInterval
	case from == SourceStore && !f.peers:
		return now + f.settings.Interval
	}
	return f.readAt + f.settings.PeerPollAge
}

// manyChanges in one answer may be a part of what changed: the store bounds the
// size of its answers. It is below the 50 objects that its pages hold at least.
const manyChanges = 40

// maxDoublings bounds the growth of the back-off.
const maxDoublings = 10

// failed goes on with another host if there is one that was not asked just before,
// or pauses.
func (f *Follower) failed(now, retryAfter time.Duration) {
	pause := max(min(retryAfter, f.settings.RetryMax), f.pause())
	f.failures++
	if f.mayAskPeers() && !f.second {
		f.second = true
		f.next = SourcePeer
		f.due = now
		return
	}
	f.begin()
	f.due = now + pause
}

// pause is random up to an end that doubles with each failure.
func (f *Follower) pause() time.Duration {
	end := min(f.settings.RetryMax, f.settings.RetryMin<<min(f.failures, maxDoublings))
	return time.Duration(f.random() * float64(end))
}
