package follow

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Change is the result of a call.
type Change struct {
	// Objects are the new, changed and deleted objects.
	Objects []objects.Object
	// AllKeys is set at the end of a list: the keys of all objects that exist.
	AllKeys map[string]bool
	// Complete is set if every change up to the follower's Revision is known.
	Complete bool
	// Failed is set if the store gave no usable answer.
	Failed bool
	// Restored is set at the end of a list that replaces all that is known: the store was
	// restored from a backup. Objects and AllKeys then hold the whole list.
	Restored bool
}

// HandleStoreOutcome processes the outcome of the call in flight, made to the store.
func (f *Follower) HandleStoreOutcome(now time.Duration, call objects.Call, outcome objects.Outcome) Change {
	f.inFlight = false
	defer f.repeatPoll(now)
	answered := outcome.Result == objects.ResultOK || outcome.Result == objects.ResultExpired
	if !answered || f.fromEarlierEra(outcome.Era) {
		f.storeFailed(now, outcome.RetryAfter)
		return Change{Failed: true}
	}
	f.storeFailures = 0
	f.lastStoreAnswer = now
	change := Change{}
	if f.continuesFromKnown(call, outcome) {
		change = f.applyPage(now, call, outcome.Page, SourceStore, 0)
	} else {
		f.startList()
		f.dueAt = now
	}
	f.startCycle()
	return change
}

// HandlePeerOutcome processes the outcome of the call in flight, made to a peer; age is
// the age of the peer's data. unusable is set if the call failed or the data is too old
// to delay the next poll.
func (f *Follower) HandlePeerOutcome(now time.Duration, call objects.Call, outcome objects.Outcome, age time.Duration) (change Change, unusable bool) {
	f.inFlight = false
	defer f.repeatPoll(now)
	if f.listed && outcome.Era > f.era {
		// Only the store itself proves a new era: read it now.
		f.startList()
		f.peerFailed(now)
		return Change{}, true
	}
	if outcome.Result != objects.ResultOK || outcome.Era < f.era {
		f.peerFailed(now)
		return Change{}, true
	}
	if !f.enterEra(call, outcome.Era) {
		f.startList()
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

// startCycle starts a new cycle: a call to one source and, if it is of no use, one to
// the other.
func (f *Follower) startCycle() {
	f.isFallback = false
	f.nextSource = f.initialSource()
}

// repeatPoll makes the poll due that PollPeerSoon requested during the call in flight.
func (f *Follower) repeatPoll(now time.Duration) {
	if f.pollAgain {
		f.pollAgain = false
		f.PollPeerSoon(now)
	}
}

// peerFailed falls back to the store at once, or backs off if the store failed just
// before.
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

// applyPage processes a page of a source whose data is of the given age.
func (f *Follower) applyPage(now time.Duration, call objects.Call, page objects.Page, from Source, age time.Duration) Change {
	if call.Verb == objects.VerbList {
		return f.applyListPage(now, page, from)
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

// applyListPage processes a page of a list. Only the store's page holds the objects as they
// were when it was requested.
func (f *Follower) applyListPage(now time.Duration, page objects.Page, from Source) Change {
	change := Change{Objects: page.Objects}
	if f.restored {
		f.restoredObjects = append(f.restoredObjects, page.Objects...)
		change.Objects = nil
	}
	for _, object := range page.Objects {
		f.listedKeys[object.Key] = true
	}
	firstPage := f.listFrom == ""
	if firstPage || page.Revision < f.revision {
		// The next poll returns the changes made since the oldest page.
		f.revision = page.Revision
	}
	f.dueAt = now
	if page.More && len(page.Objects) > 0 {
		f.listFrom = f.settings.Kind + "/" + page.Objects[len(page.Objects)-1].Key
		return change
	}
	change.AllKeys = f.listedKeys
	change.Complete = firstPage && from == SourceStore
	f.listedKeys = nil
	if f.restored {
		change.Objects, change.Restored = f.restoredObjects, true
		f.restoredObjects, f.restored = nil, false
	}
	if change.Complete {
		f.hasComplete = true
		f.completeAsOf = f.callStart
		f.dueAt = f.nextPollAt(now, SourceStore)
	}
	f.listed = true
	return change
}

// nextPollAt is when the next poll is due after a complete answer.
func (f *Follower) nextPollAt(now time.Duration, from Source) time.Duration {
	switch {
	case from == SourceStore && f.settings.Watch > 0 && (f.serving || !f.peerAvailable):
		// The next poll waits in the store until there is a change.
		return max(now, f.callStart+minWatchInterval)
	case from == SourceStore && f.serving:
		return now + f.settings.ServingInterval
	case from == SourceStore && !f.peerAvailable:
		return now + f.settings.Interval
	}
	return f.completeAsOf + f.settings.PeerPollAge
}

// truncationThreshold is the number of objects from which an answer of the store may be
// truncated, since the store bounds the size of its answers. It is below 50, the least
// number of objects that a full page holds.
const truncationThreshold = 40

// minWatchInterval is the least time from the start of a poll that waits to that of the
// next one, so that a series of changes does not cost a call each.
const minWatchInterval = 200 * time.Millisecond

// maxDoublings bounds the growth of the backoff.
const maxDoublings = 10

// storeFailed falls back to a peer at once if one may be polled and none was just
// before, or backs off, at least for retryAfter but not longer than RetryMax.
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

// backoff returns a random delay below a limit that doubles with each failure of the
// store, from RetryMin up to RetryMax.
func (f *Follower) backoff() time.Duration {
	limit := min(f.settings.RetryMax, f.settings.RetryMin<<min(f.storeFailures, maxDoublings))
	return time.Duration(f.random() * float64(limit))
}
