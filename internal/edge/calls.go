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

// Timing of the calls to the store, as shares of the bound within which a change must
// take effect: a poll interval, a timeout and a retry fit into the bound.
const (
	pollIntervalShare = 0.65
	storeTimeoutShare = 0.2
	// peerAgeShare sets the age of the data at which another host is polled, and
	// peerTimeoutShare the timeout of that request: a call to the store still fits into
	// the bound after it.
	peerAgeShare     = 0.55
	peerTimeoutShare = 0.05
	// servingIntervalShare sets the poll interval of a host that others read from. Its
	// replies are then recent enough that the others need not poll again at once.
	servingIntervalShare = 0.35
)

// Limits of the calls to the store.
const (
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// minPollInterval is the least time between the extra polls requested for
	// cookies of unknown targets.
	minPollInterval = 500 * time.Millisecond
	// storeConnections and storeCalls allow one for each follower.
	storeConnections = 3
	storeCalls       = 3
	// newerConfigCalls is for a question about a newer configuration.
	newerConfigCalls = 1
	// callsTimeout bounds the wait for running calls at shutdown.
	callsTimeout = time.Second
	// stepAsideCalls is for an overloaded host's request to step aside.
	stepAsideCalls = 1
	// breakerFailures and breakerOpenTime keep the followers from all calling a store
	// that is down. The open time is short because the bound on changes leaves little
	// time without calls.
	breakerFailures = 6
	breakerOpenTime = 200 * time.Millisecond
	// rateLimitBackoff is the pause after a response that reports a rate limit.
	rateLimitBackoff = 200 * time.Millisecond
	// outageGrace is how long after the store's return targets get to rewrite entries
	// that expired while it was unavailable.
	outageGrace = 2500 * time.Millisecond
	// restoreDoubt is how long the store keeps the entry of a target that has left without
	// removing it, at most.
	restoreDoubt = 6 * time.Second
	// departedMargin is how long a departed target is kept beyond the age of the oldest
	// flow.
	departedMargin = 15 * time.Second
)

// resource is one kind of objects that is read from the store, with its follower.
type resource struct {
	kind     string
	follower *follow.Follower
	// readAt is when the newest complete read was requested, in nanoseconds since start.
	readAt *atomic.Int64
	apply  func(now time.Duration, change follow.Change) (changed bool)
}

// readSource is where the host reads from, as reported to operators.
type readSource struct {
	// peer is the host whose reply was last useful, the zero address for the store.
	peer             netip.AddrPort
	storeUnavailable bool
}

// newerConfig is another host's answer to the question about a newer configuration.
type newerConfig struct {
	peer    netip.AddrPort
	objects []objects.Object
}

// readRequest is a call that a follower requests.
type readRequest struct {
	resource *resource
	call     objects.Call
}

// readResult is the outcome of a request.
type readResult struct {
	readRequest
	// requestedAt is when the call was made, as returned by bootTime.
	requestedAt time.Duration
	outcome     objects.Outcome
	// peer is the host that was polled, the zero address for the store. redirect is the
	// host that it named to be polled in its place. err is why it sent no reply.
	peer     netip.AddrPort
	redirect netip.AddrPort
	reply    peerapi.Answer
	err      error
}

func storeSettings(e *Edge) store.Settings {
	return store.Settings{
		Address:        "http://" + e.settings.StoreAddress.String(),
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

// follow adds a follower that must learn of changes within bound.
func (c *control) follow(settings follow.Settings, bound time.Duration, readAt *atomic.Int64, apply func(time.Duration, follow.Change) bool) *follow.Follower {
	settings.Interval = share(bound, pollIntervalShare)
	settings.ServingInterval = share(bound, servingIntervalShare)
	settings.PeerPollAge = share(bound, peerAgeShare)
	settings.MinPollInterval = minPollInterval
	settings.RetryMin = retryMin
	settings.RetryMax = retryMax
	follower := follow.New(settings, rand.Float64)
	c.followers = append(c.followers, &resource{kind: settings.Kind, apply: apply, follower: follower, readAt: readAt})
	return follower
}

// startDueCalls starts the calls that are due.
func (c *control) startDueCalls(now time.Duration) {
	serving := c.peerServer.serving(now)
	_, readsFromPeer := c.chooser.Pick(now, false)
	c.peerServer.observeHostsAsRoot(!readsFromPeer)
	for _, f := range c.followers {
		peer, found := c.chooser.Pick(now, f.follower.Failing())
		f.follower.SetPeerStatus(now, found, serving)
		call, source, due := f.follower.Next(now)
		request := readRequest{resource: f, call: call}
		switch {
		case !due:
		case source == follow.SourcePeer:
			c.submit(now, request, func() { c.readFromPeer(peer, request) })
		default:
			c.submit(now, request, func() { c.readFromStore(request) })
		}
	}
}

// start runs a call in the pool; close waits for it.
func (c *control) start(call func()) error {
	c.calls.Add(1)
	err := c.pool.Submit(func() {
		defer c.calls.Done()
		call()
	})
	if err != nil {
		c.calls.Done()
	}
	return err
}

// submit runs a call in the pool. If the pool rejects it, the follower sees it as refused
// by the store.
func (c *control) submit(now time.Duration, request readRequest, call func()) {
	err := c.start(call)
	if err == nil {
		return
	}
	c.edge.log.Error("read not started; treating it as refused by the store", "kind", request.resource.kind, "error", err.Error())
	request.resource.follower.HandleStoreOutcome(now, request.call, objects.Outcome{Result: objects.ResultRefused})
}

// readFromStore makes a call to the store and queues its result.
func (c *control) readFromStore(request readRequest) {
	result := readResult{readRequest: request, requestedAt: bootTime()}
	began := time.Now()
	result.outcome = c.storeClient.Do(c.ctx, request.call)
	c.edge.metrics.observeStoreCall(request.resource.kind, result.outcome, time.Since(began))
	c.results <- result
}
