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
	f.inFlight = false
	switch outcome.Result {
	case objects.ResultOK:
		f.storeFailures = 0
		f.lastStoreAnswer = now
		change := f.applyPage(now, call, outcome.Page, SourceStore, 0)
		f.startCycle()
		return change
	case objects.ResultExpired:
		f.storeFailures = 0
		f.lastStoreAnswer = now
		f.dueAt = now
		f.listedKeys = make(map[string]bool)
		f.listFrom = ""
		f.startCycle()
		return Change{}
	}
	f.storeFailed(now, outcome.RetryAfter)
	return Change{Failed: true}
}

// HandlePeerOutcome takes the outcome of the call made last, to another host. Age is that
// of what the other host told. Behind tells that it was of no use: no answer came,
// or one that is too old to go on with.
func (f *Follower) HandlePeerOutcome(now time.Duration, call objects.Call, outcome objects.Outcome, age time.Duration) (change Change, unusable bool) {
	f.inFlight = false
	if outcome.Result != objects.ResultOK {
		f.peerFailed(now)
		return Change{}, true
	}
	change = f.applyPage(now, call, outcome.Page, SourcePeer, age)
	if call.Verb == objects.VerbWatch && f.dueAt <= now && !outcome.Page.More {
		f.peerFailed(now)
		return change, true
	}
	f.startCycle()
	return change, false
}

// startCycle starts a cycle of calls anew.
func (f *Follower) startCycle() {
	f.isFallback = false
	f.nextSource = f.initialSource()
}

// peerFailed goes on with the store, or pauses if that failed just before.
func (f *Follower) peerFailed(now time.Duration) {
	if !f.isFallback {
		f.isFallback = true
		f.nextSource = SourceStore
		f.dueAt = now
		return
	}
	f.startCycle()
	f.dueAt = now + f.backoff()
}

// applyPage takes a page that is of an age.
func (f *Follower) applyPage(now time.Duration, call objects.Call, page objects.Page, from Source, age time.Duration) Change {
	if call.Verb == objects.VerbList {
		return f.applyListPage(now, page, from == SourceStore && !call.Stale)
	}
	f.revision = max(f.revision, page.Revision)
	f.dueAt = now
	complete := !page.More && (from == SourcePeer || len(page.Objects) < truncationThreshold)
	if complete {
		f.hasComplete = true
		f.completeAsOf = max(f.completeAsOf, f.callStart-age)
		f.dueAt = f.nextPollAt(now, from)
	}
	return Change{Objects: page.Objects, Complete: complete}
}

// applyListPage takes a page of a list. Fresh tells that it holds the objects as they were
// when it was asked for.
func (f *Follower) applyListPage(now time.Duration, page objects.Page, fresh bool) Change {
	change := Change{Objects: page.Objects}
	for _, object := range page.Objects {
		f.listedKeys[object.Key] = true
	}
	firstPage := f.listFrom == ""
	if firstPage || page.Revision < f.revision {
		// Changes made since the oldest page come by the next poll.
		f.revision = page.Revision
	}
	f.dueAt = now
	if page.More && len(page.Objects) > 0 {
		f.listFrom = f.settings.Kind + "/" + page.Objects[len(page.Objects)-1].Key
		return change
	}
	change.AllKeys = f.listedKeys
	change.Complete = firstPage && fresh
	f.listedKeys = nil
	if change.Complete {
		f.hasComplete = true
		f.completeAsOf = f.callStart
		f.dueAt = f.nextPollAt(now, SourceStore)
	}
	f.listed = true
	return change
}

// nextPollAt is when the next poll is due after one whose answer was whole.
func (f *Follower) nextPollAt(now time.Duration, from Source) time.Duration {
	switch {
	case from == SourceStore && f.serving:
		return now + f.settings.ServingInterval
	case from == SourceStore && !f.peerAvailable:
		return now + f.settings.Interval
	}
	return f.completeAsOf + f.settings.PeerPollAge
}

// truncationThreshold in one answer may be a part of what changed: the store bounds the
// size of its answers. It is below the 50 objects that its pages hold at least.
const truncationThreshold = 40

// maxDoublings bounds the growth of the back-off.
const maxDoublings = 10

// storeFailed goes on with another host if there is one that was not asked just before,
// or pauses.
func (f *Follower) storeFailed(now, retryAfter time.Duration) {
	delay := max(min(retryAfter, f.settings.RetryMax), f.backoff())
	f.storeFailures++
	if f.peerAllowed() && !f.isFallback {
		f.isFallback = true
		f.nextSource = SourcePeer
		f.dueAt = now
		return
	}
	f.startCycle()
	f.dueAt = now + delay
}

// backoff is random up to an end that doubles with each failure.
func (f *Follower) backoff() time.Duration {
	limit := min(f.settings.RetryMax, f.settings.RetryMin<<min(f.storeFailures, maxDoublings))
	return time.Duration(f.random() * float64(limit))
}
