// Package follow decides when and from whom to read one kind of objects, so that a
// change in the store is known within a bound on every kind of outage. A list is
// followed by polls for what changed since. A poll returns at once: a watch that
// waits for the next change costs a call for each change and host, and one that
// hears nothing may have been cut off without a sign. Polls go to another host
// that reads the store, while there is one and the store is not known to be away,
// and to the store when that host does not answer or knows less than is needed.
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
	// ServingInterval replaces Interval while other hosts ask this one.
	ServingInterval time.Duration
	// PeerInterval is the age of what is known at which another host is asked.
	PeerInterval time.Duration
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
	// made whose answer held all that had changed; whole tells that there was one.
	asked  time.Duration
	readAt time.Duration
	whole  bool
	due    time.Duration
	// failures counts the calls to the store that failed in a row.
	failures int
	lastGood time.Duration
	// peers tells that there is another host to ask, serving that others ask this.
	peers   bool
	serving bool
	// next is whom the next call goes to; second tells that the call before it, to
	// the other source, was of no use.
	next   Source
	second bool
}

// Source is whom a call goes to.
type Source uint8

// Sources.
const (
	// SourceStore is the platform's store.
	SourceStore Source = iota
	// SourcePeer is another host.
	SourcePeer
)

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

// Revision is the store's revision up to which changes are known.
func (f *Follower) Revision() uint64 { return f.revision }

// Hurry makes the next poll due soon and sends it to the store, which knows the
// newest: at once, but not more often than the least interval.
func (f *Follower) Hurry(now time.Duration) {
	if f.listed && f.failures == 0 {
		f.due = min(f.due, max(now, f.asked+f.settings.HurryInterval))
		f.next = SourceStore
	}
}

// Due returns when the next call is to be made; ok is false while one runs.
func (f *Follower) Due() (at time.Duration, ok bool) { return f.due, !f.busy }

// SetPeers tells whether there is another host to ask, and whether others ask this
// one. A host that others ask reads the store itself, so that what they hear is as
// young as it can be; it does so soon after the first question.
func (f *Follower) SetPeers(now time.Duration, available, serving bool) {
	if serving && !f.serving && f.failures == 0 && f.listed {
		f.due = min(f.due, max(now, f.asked+f.settings.ServingInterval))
		f.next = SourceStore
	}
	f.peers = available
	f.serving = serving
}

// Next returns the call to make if one is due, and whom to make it to.
func (f *Follower) Next(now time.Duration) (objects.Call, Source, bool) {
	if f.busy || now < f.due {
		return objects.Call{}, SourceStore, false
	}
	f.busy = true
	f.asked = now
	source := f.next
	if !f.mayAskPeers() {
		source = SourceStore
	}
	if !f.listed || f.seen != nil {
		return f.list(), source, true
	}
	return f.poll(), source, true
}

// Along returns the poll that can go to another host together with one that is due,
// though this one is not: a question about two kinds costs little more than one.
func (f *Follower) Along(now time.Duration) (objects.Call, bool) {
	if f.busy || !f.peers || f.next != SourcePeer || f.seen != nil || !f.listed {
		return objects.Call{}, false
	}
	f.busy = true
	f.asked = now
	return f.poll(), true
}

func (f *Follower) poll() objects.Call {
	return objects.Call{Verb: objects.VerbWatch, Key: f.settings.Kind, After: f.revision}
}

// mayAskPeers tells whether another host can answer the next call. A list that
// replaces a lost history comes from the store: another host's may be older than
// what is known here.
func (f *Follower) mayAskPeers() bool { return f.peers && (f.seen == nil || !f.listed) }

// first is whom the first call of a cycle goes to: a store that is away is asked
// first, since only its answer shows that it is back.
func (f *Follower) first() Source {
	if !f.whole || f.failures > 0 || f.serving {
		return SourceStore
	}
	return SourcePeer
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
	// Whole tells that every change up to Revision is known.
	Whole bool
	// Failed tells that the store gave no answer to use.
	Failed bool
}

// Answer takes the outcome of the call made last, to the store.
func (f *Follower) Answer(now time.Duration, call objects.Call, outcome objects.Outcome) Change {
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

// PeerAnswer takes the outcome of the call made last, to another host. Age is that
// of what the other host told. Behind tells that it was of no use: no answer came,
// or one that is too old to go on with.
func (f *Follower) PeerAnswer(now time.Duration, call objects.Call, outcome objects.Outcome, age time.Duration) (change Change, behind bool) {
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
	return Change{Objects: page.Objects, Whole: whole}
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
	change.Listed = f.seen
	change.Whole = first && fresh
	f.seen = nil
	if change.Whole {
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
	return f.readAt + f.settings.PeerInterval
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
