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
	pollIntervalShare = 0.65
	storeTimeoutShare = 0.2
	// peerAgeShare is the age of what is known at which another host is asked, and
	// peerTimeoutShare the time it gets: a call to the store fits in after it.
	peerAgeShare     = 0.55
	peerTimeoutShare = 0.05
	// servingIntervalShare is the interval of a host that others ask; what it tells is then
	// young enough to ask again only after a while.
	servingIntervalShare = 0.35
)

// Limits of the calls to the store.
const (
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// minRequestedReadInterval bounds the polls for cookies whose target is not known.
	minRequestedReadInterval = 500 * time.Millisecond
	// storeConnections and storeCalls are one for each follower.
	storeConnections = 2
	storeCalls       = 2
	// stepAsideCalls is for the question of an overloaded host.
	stepAsideCalls = 1
	// breakerFailures and openFor keep a store that is down from being asked by
	// every follower; the bound on changes leaves little time to hold back.
	breakerFailures = 6
	breakerOpenTime = 200 * time.Millisecond
	// rateLimitBackoff is the time to hold back after a rate limit.
	rateLimitBackoff = 200 * time.Millisecond
	// expiredEntryGrace is how long after the store's return entries that lapsed are
	// written again.
	expiredEntryGrace = 2500 * time.Millisecond
	// departedMargin is added to the age of the oldest flow.
	departedMargin = 15 * time.Second
)

// resource is one kind of objects with what takes its changes.
type resource struct {
	kind     string
	follower *follow.Follower
	// readAt is when the newest whole readAt was asked for, in nanoseconds from start.
	readAt *atomic.Int64
	apply  func(now time.Duration, change follow.Change) (changed bool)
}

// readSource tells whom the host reads from.
type readSource struct {
	// peer is the host that was of use last, the zero address for the store.
	peer             netip.AddrPort
	storeUnavailable bool
}

// readRequest is a call of a follower.
type readRequest struct {
	resource *resource
	call     objects.Call
}

// readResult is the outcome of a call.
type readResult struct {
	readRequest
	// requestedAt is when the call was made, by bootTime.
	requestedAt time.Duration
	outcome     objects.Outcome
	// peer is the host that was asked, the zero address for the store. Instead is the
	// host that it named to be asked in its place, told what it answered, and err why
	// it did not.
	peer     netip.AddrPort
	redirect netip.AddrPort
	reply    peerapi.Answer
	err      error
}

func storeSettings(e *Edge) store.Settings {
	return store.Settings{
		Address:        "http://" + e.settings.Store.String(),
		Protocol:       platform.Protocol{},
		Timeout:        share(min(e.settings.ChangeBound, e.settings.DrainBound), storeTimeoutShare),
		MaxAttempts:    1,
		MaxConnections: storeConnections,
		FailuresToOpen: breakerFailures,
		OpenFor:        breakerOpenTime,
		RetryAfter:     rateLimitBackoff,
	}
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// follow adds a follower whose changes have to be known within a bound.
func (c *control) follow(settings follow.Settings, bound time.Duration, read *atomic.Int64, apply func(time.Duration, follow.Change) bool) *follow.Follower {
	settings.Interval = share(bound, pollIntervalShare)
	settings.ServingInterval = share(bound, servingIntervalShare)
	settings.PeerInterval = share(bound, peerAgeShare)
	settings.HurryInterval = minRequestedReadInterval
	settings.RetryMin = retryMin
	settings.RetryMax = retryMax
	follower := follow.New(settings, rand.Float64)
	c.followers = append(c.followers, &resource{kind: settings.Kind, apply: apply, follower: follower, readAt: read})
	return follower
}

// startDueCalls starts the calls that are due.
func (c *control) startDueCalls(now time.Duration) {
	serving := c.peerServer.serving(now)
	for _, f := range c.followers {
		peer, found := c.chooser.Pick(now, f.follower.Failing())
		f.follower.SetPeers(now, found, serving)
		call, source, due := f.follower.Next(now)
		switch {
		case !due:
		case source == follow.SourcePeer:
			questions := c.batchDuePolls(now, readRequest{resource: f, call: call})
			c.submit(now, questions, func() { c.readFromPeer(peer, questions) })
		default:
			asked := readRequest{resource: f, call: call}
			c.submit(now, []readRequest{asked}, func() { c.readFromStore(asked) })
		}
	}
}

// batchDuePolls adds the polls of other kinds that can go to the same host.
func (c *control) batchDuePolls(now time.Duration, due readRequest) []readRequest {
	questions := []readRequest{due}
	for _, f := range c.followers {
		if call, ok := f.follower.Along(now); ok {
			questions = append(questions, readRequest{resource: f, call: call})
		}
	}
	return questions
}

// submit runs a call; one that can't be started counts as refused by the store.
func (c *control) submit(now time.Duration, questions []readRequest, call func()) {
	err := c.pool.Submit(call)
	if err == nil {
		return
	}
	c.edge.log.Error("call not started", "kind", questions[0].resource.kind, "error", err.Error())
	for _, asked := range questions {
		asked.resource.follower.Answer(now, asked.call, objects.Outcome{Result: objects.ResultRefused})
	}
}

// readFromStore makes a call to the store.
func (c *control) readFromStore(asked readRequest) {
	a := readResult{readRequest: asked, requestedAt: bootTime()}
	began := time.Now()
	a.outcome = c.client.Do(c.ctx, asked.call)
	c.edge.metrics.observeStoreCall(asked.resource.kind, a.outcome, time.Since(began))
	c.results <- a
}
