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
	// AllowStaleFirstList allows the first list to be answered from old data, which costs
	// the store less. The poll that follows at once brings what the list lacks.
	AllowStaleFirstList bool
	// Interval is the time from the answer of a poll to the next poll.
	Interval time.Duration
	// ServingInterval replaces Interval while other hosts ask this one.
	ServingInterval time.Duration
	// PeerPollAge is the age of what is known at which another host is asked.
	PeerPollAge time.Duration
	// MinPollInterval is the least time from one poll to another that Hurry asks for.
	MinPollInterval time.Duration
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
	// listFrom and seen belong to a list that is being read page by page.
	listFrom   string
	listedKeys map[string]bool

	inFlight bool
	// callStart is when the call that runs was made; readAt is when the newest poll was
	// made whose answer held all that had changed; whole tells that there was one.
	callStart    time.Duration
	completeAsOf time.Duration
	hasComplete  bool
	dueAt        time.Duration
	// storeFailures counts the calls to the store that failed in a row.
	storeFailures   int
	lastStoreAnswer time.Duration
	// peerAvailable tells that there is another host to ask, serving that others ask this.
	peerAvailable bool
	serving       bool
	// nextSource is whom the nextSource call goes to; second tells that the call before it, to
	// the other source, was of no use.
	nextSource Source
	isFallback bool
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
func (f *Follower) Failing() bool { return f.storeFailures > 0 }

// LastStoreAnswer is when the store was last known to have answered.
func (f *Follower) LastStoreAnswer() time.Duration { return f.lastStoreAnswer }

// CompleteAsOf is when the newest poll was asked for whose answer was whole: what was
// written before is known.
func (f *Follower) CompleteAsOf() time.Duration { return f.completeAsOf }

// Revision is the store's revision up to which changes are known.
func (f *Follower) Revision() uint64 { return f.revision }

// PollSoon makes the next poll due soon and sends it to the store, which knows the
// newest: at once, but not more often than the least interval.
func (f *Follower) PollSoon(now time.Duration) {
	if f.listed && f.storeFailures == 0 {
		f.dueAt = min(f.dueAt, max(now, f.callStart+f.settings.MinPollInterval))
		f.nextSource = SourceStore
	}
}

// Due returns when the next call is to be made; ok is false while one runs.
func (f *Follower) Due() (at time.Duration, ok bool) { return f.dueAt, !f.inFlight }

// SetPeerStatus tells whether there is another host to ask, and whether others ask this
// one. A host that others ask reads the store itself, so that what they hear is as
// young as it can be; it does so soon after the first question.
func (f *Follower) SetPeerStatus(now time.Duration, available, serving bool) {
	if serving && !f.serving && f.storeFailures == 0 && f.listed {
		f.dueAt = min(f.dueAt, max(now, f.callStart+f.settings.ServingInterval))
		f.nextSource = SourceStore
	}
	f.peerAvailable = available
	f.serving = serving
}

// Next returns the call to make if one is due, and whom to make it to.
func (f *Follower) Next(now time.Duration) (objects.Call, Source, bool) {
	if f.inFlight || now < f.dueAt {
		return objects.Call{}, SourceStore, false
	}
	f.inFlight = true
	f.callStart = now
	source := f.nextSource
	if !f.peerAllowed() {
		source = SourceStore
	}
	if !f.listed || f.listedKeys != nil {
		return f.listCall(), source, true
	}
	return f.pollCall(), source, true
}

// PiggybackPoll returns the poll that can go to another host together with one that is due,
// though this one is not: a question about two kinds costs little more than one.
func (f *Follower) PiggybackPoll(now time.Duration) (objects.Call, bool) {
	if f.inFlight || !f.peerAvailable || f.nextSource != SourcePeer || f.listedKeys != nil || !f.listed {
		return objects.Call{}, false
	}
	f.inFlight = true
	f.callStart = now
	return f.pollCall(), true
}

func (f *Follower) pollCall() objects.Call {
	return objects.Call{Verb: objects.VerbWatch, Key: f.settings.Kind, After: f.revision}
}

// peerAllowed tells whether another host can answer the next call. A list that
// replaces a lost history comes from the store: another host's may be older than
// what is known here.
func (f *Follower) peerAllowed() bool { return f.peerAvailable && (f.listedKeys == nil || !f.listed) }

// initialSource is whom the initialSource call of a cycle goes to: a store that is away is asked
// initialSource, since only its answer shows that it is back.
func (f *Follower) initialSource() Source {
	if !f.hasComplete || f.storeFailures > 0 || f.serving {
		return SourceStore
	}
	return SourcePeer
}

func (f *Follower) listCall() objects.Call {
	if f.listedKeys == nil {
		f.listedKeys = make(map[string]bool)
		f.listFrom = ""
	}
	// A later list must not go back behind what is known already.
	allowStale := f.settings.AllowStaleFirstList && !f.listed
	return objects.Call{Verb: objects.VerbList, Key: f.settings.Kind, From: f.listFrom, Stale: allowStale}
}
