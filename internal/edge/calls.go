package edge

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/follow"
	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/guavawharf/guavawharf/internal/transport/store"
	"github.com/guavawharf/guavawharf/platform"
)

// Timing of the calls to the store, as shares of the bound on changes: an
// interval, a timeout and another try fit into the bound.
const (
	intervalShare = 0.65
	timeoutShare  = 0.2
	// peerAgeShare is the age of what is known at which another host is asked, and
	// peerTimeoutShare the time it gets: a call to the store fits in after it.
	peerAgeShare     = 0.55
	peerTimeoutShare = 0.05
	// servingShare is the interval of a host that others ask; what it tells is then
	// young enough to ask again only after a while.
	servingShare = 0.35
)

// Limits of the calls to the store.
const (
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// hurryInterval bounds the polls for cookies whose target is not known.
	hurryInterval = 500 * time.Millisecond
	// storeConnections and storeCalls are one for each follower.
	storeConnections = 2
	storeCalls       = 2
	// sideCalls is for the question of an overloaded host.
	sideCalls = 1
	// failuresToOpen and openFor keep a store that is down from being asked by
	// every follower; the bound on changes leaves little time to hold back.
	failuresToOpen = 6
	openFor        = 200 * time.Millisecond
	// rateLimitPause is the time to hold back after a rate limit.
	rateLimitPause = 200 * time.Millisecond
	// lapseGrace is how long after the store's return entries that lapsed are
	// written again.
	lapseGrace = 2500 * time.Millisecond
	// departedMargin is added to the age of the oldest flow.
	departedMargin = 15 * time.Second
)

// followed is one kind of objects with what takes its changes.
type followed struct {
	kind     string
	follower *follow.Follower
	// read is when the newest whole read was asked for, in nanoseconds from start.
	read  *atomic.Int64
	apply func(now time.Duration, change follow.Change) (changed bool)
}

// sourceState tells whom the host reads from.
type sourceState struct {
	// peer is the host that was of use last, the zero address for the store.
	peer      netip.AddrPort
	storeAway bool
}

// question is a call of a follower.
type question struct {
	of   *followed
	call objects.Call
}

// answer is the outcome of a call.
type answer struct {
	question
	// asked is when the call was made, by bootTime.
	asked   time.Duration
	outcome objects.Outcome
	// peer is the host that was asked, the zero address for the store. Instead is the
	// host that it named to be asked in its place, told what it answered, and err why
	// it did not.
	peer    netip.AddrPort
	instead netip.AddrPort
	told    peerapi.Answer
	err     error
}

func storeSettings(e *Edge) store.Settings {
	return store.Settings{
		Address:        "http://" + e.settings.Store.String(),
		Protocol:       platform.Protocol{},
		Timeout:        share(min(e.settings.ChangeBound, e.settings.DrainBound), timeoutShare),
		MaxAttempts:    1,
		MaxConnections: storeConnections,
		FailuresToOpen: failuresToOpen,
		OpenFor:        openFor,
		RetryAfter:     rateLimitPause,
	}
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// follow adds a follower whose changes have to be known within a bound.
func (c *control) follow(settings follow.Settings, bound time.Duration, read *atomic.Int64, apply func(time.Duration, follow.Change) bool) *follow.Follower {
	settings.Interval = share(bound, intervalShare)
	settings.ServingInterval = share(bound, servingShare)
	settings.PeerPollAge = share(bound, peerAgeShare)
	settings.MinPollInterval = hurryInterval
	settings.RetryMin = retryMin
	settings.RetryMax = retryMax
	follower := follow.New(settings, rand.Float64)
	c.followers = append(c.followers, &followed{kind: settings.Kind, apply: apply, follower: follower, read: read})
	return follower
}

// callDue starts the calls that are due.
func (c *control) callDue(now time.Duration) {
	serving := c.reads.serving(now)
	for _, f := range c.followers {
		peer, found := c.chooser.Pick(now, f.follower.Failing())
		f.follower.SetPeerStatus(now, found, serving)
		call, source, due := f.follower.Next(now)
		switch {
		case !due:
		case source == follow.SourcePeer:
			questions := c.along(now, question{of: f, call: call})
			c.submit(now, questions, func() { c.askPeer(peer, questions) })
		default:
			asked := question{of: f, call: call}
			c.submit(now, []question{asked}, func() { c.askStore(asked) })
		}
	}
}

// along adds the polls of other kinds that can go to the same host.
func (c *control) along(now time.Duration, due question) []question {
	questions := []question{due}
	for _, f := range c.followers {
		if call, ok := f.follower.PiggybackPoll(now); ok {
			questions = append(questions, question{of: f, call: call})
		}
	}
	return questions
}

// submit runs a call; one that can't be started counts as refused by the store.
func (c *control) submit(now time.Duration, questions []question, call func()) {
	err := c.pool.Submit(call)
	if err == nil {
		return
	}
	c.edge.log.Error("call not started", "kind", questions[0].of.kind, "error", err.Error())
	for _, asked := range questions {
		asked.of.follower.HandleStoreOutcome(now, asked.call, objects.Outcome{Result: objects.ResultRefused})
	}
}

// askStore makes a call to the store.
func (c *control) askStore(asked question) {
	a := answer{question: asked, asked: bootTime()}
	began := time.Now()
	a.outcome = c.client.Do(c.ctx, asked.call)
	c.edge.metrics.storeCall(asked.of.kind, a.outcome, time.Since(began))
	c.answers <- a
}
