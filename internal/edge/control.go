package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/coordination/follow"
	"github.com/guavawharf/guavawharf/internal/coordination/peers"
	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/transport/peerlink"
	"github.com/guavawharf/guavawharf/internal/transport/store"
	"github.com/guavawharf/guavawharf/platform"
)

// control reads the configuration and targets, from the store or another host, in one
// goroutine and publishes views of them.
type control struct {
	edge        *Edge
	storeClient *store.Client
	peerServer  *peerServer
	peerClient  *peerlink.Client
	reporter    *reporter
	broadcaster *broadcaster
	chooser     *peers.Chooser
	pool        *ants.Pool
	// calls counts the calls that run in the pool.
	calls     sync.WaitGroup
	directory *catalog.Directory
	followers []*resource
	// config, targets and drains are the followers of the kinds of objects; drains is nil
	// if the settings have no bound for drains of failure domains.
	config  *follow.Follower
	targets *follow.Follower
	drains  *follow.Follower
	// targetsWatched is set while changes of the targets are read at once.
	targetsWatched bool
	results        chan readResult
	// newerConfigs are answers to requestNewerConfig.
	newerConfigs chan newerConfig
	// configValue is the encoded configuration in force.
	configValue json.RawMessage
	// configReadRequested and targetsReadRequested request an immediate read of a kind.
	configReadRequested  chan struct{}
	targetsReadRequested chan struct{}
	// notices are those of other hosts that objects have changed.
	notices chan peerapi.Notice
	// firstPeerQuery signals a query from another host after a time without queries.
	firstPeerQuery chan struct{}
	// overloaded signals that forwarding takes nearly all of the traffic goroutine's time.
	overloaded chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	// rebuildAt is when the view must be rebuilt because of elapsed time alone, 0 for never.
	rebuildAt time.Duration
	// wasReady is set once a view that can serve was published.
	wasReady bool
	// activePeer is the host whose reply was last useful, the zero address for none.
	activePeer netip.AddrPort
	// source is where this host reads from, as reported to operators.
	source atomic.Pointer[readSource]
	// storeUnavailable is set while the store is unavailable; the loss has been logged.
	storeUnavailable bool
}

func newControl(e *Edge) (*control, error) {
	pool, err := ants.NewPool(storeCalls+stepAsideCalls+newerConfigCalls, ants.WithPanicHandler(repanic))
	if err != nil {
		return nil, oops.Code("call_pool").Wrap(err)
	}
	broadcaster, err := newBroadcaster(e.log)
	if err != nil {
		return nil, err
	}
	server, err := listenPeers(e, platform.KindConfig, platform.KindTargets, platform.KindDomainDrains)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	bound := min(e.settings.ChangeBound, e.settings.DrainBound)
	c := &control{
		edge:                 e,
		storeClient:          store.NewClient(storeSettings(e), e.metrics),
		peerServer:           server,
		peerClient:           peerlink.NewClient(share(bound, peerTimeoutShare)),
		chooser:              peers.NewChooser(e.settings.Control, e.settings.Seeds, rand.Float64),
		pool:                 pool,
		reporter:             newReporter(e),
		broadcaster:          broadcaster,
		results:              make(chan readResult, storeCalls),
		newerConfigs:         make(chan newerConfig, newerConfigCalls),
		configReadRequested:  make(chan struct{}, 1),
		targetsReadRequested: make(chan struct{}, 1),
		notices:              make(chan peerapi.Notice, maxQueuedNotices),
		firstPeerQuery:       make(chan struct{}, 1),
		overloaded:           make(chan struct{}, 1),
		ctx:                  ctx,
		cancel:               cancel,
		directory: catalog.NewDirectory(catalog.Settings{
			DepartedRetention: e.settings.MaxFlowAge + departedMargin,
			OutageGrace:       outageGrace,
			RestoreDoubt:      restoreDoubt,
			AwaitDrains:       awaitDrains(e),
		}),
	}
	c.source.Store(&readSource{})
	c.config = c.follow(follow.Settings{Kind: platform.KindConfig}, e.settings.ChangeBound, &e.configReadAt, c.applyConfig)
	c.targets = c.follow(follow.Settings{Kind: platform.KindTargets}, e.settings.DrainBound, &e.targetsReadAt, c.applyTargets)
	c.followDrains()
	return c, nil
}

// awaitDrains is until when a view waits for the list of drained failure domains.
func awaitDrains(e *Edge) time.Duration {
	if e.settings.DomainDrainBound == 0 {
		return 0
	}
	return drainsWait
}

// repanic ends the process: a call that panicked would leave its follower waiting
// forever.
func repanic(cause any) { panic(cause) }

// requestReads requests immediate reads without blocking.
func (c *control) requestReads(requests steer.ReadRequests) {
	if requests.Config {
		notify(c.configReadRequested)
	}
	if requests.Targets {
		notify(c.targetsReadRequested)
	}
}

// run starts the calls that are due and handles their results until close.
func (c *control) run() {
	timer := time.NewTimer(0)
	for {
		select {
		case <-c.ctx.Done():
			return
		case r := <-c.results:
			c.handleResult(r)
		case newer := <-c.newerConfigs:
			c.applyNewerConfig(c.edge.now(), newer)
		case <-c.configReadRequested:
			c.config.PollSoon(c.edge.now())
		case <-c.targetsReadRequested:
			c.targets.PollSoon(c.edge.now())
		case target := <-c.reporter.own:
			c.reporter.passOnOwn(c.edge.now(), target, c.activePeer, c.peerServer.pollerHosts())
		case report := <-c.reporter.received:
			c.reporter.handleReceived(c.edge.now(), report, c.activePeer, c.peerServer.pollerHosts())
		case notice := <-c.notices:
			c.handleNotice(c.edge.now(), notice)
		case <-c.firstPeerQuery:
		case <-c.overloaded:
			c.requestStepAside(c.edge.now())
		case <-timer.C:
		}
		now := c.edge.now()
		c.startDueCalls(now)
		if c.rebuildAt > 0 && now >= c.rebuildAt {
			c.publish(now)
		}
		timer.Reset(c.nextWake(now) - now)
	}
}

func (c *control) nextWake(now time.Duration) time.Duration {
	wake := now + maxIdleWait
	for _, f := range c.followers {
		if at, ok := f.follower.Due(); ok {
			wake = min(wake, at)
		}
	}
	if c.rebuildAt > 0 {
		wake = min(wake, c.rebuildAt)
	}
	return max(wake, now)
}

// handleResult passes the result of a call to its follower and puts changes in force.
func (c *control) handleResult(r readResult) {
	now := c.edge.now()
	if r.peer.IsValid() {
		c.handlePeerResult(now, r)
		return
	}
	change := r.resource.follower.HandleStoreOutcome(now, r.call, r.outcome)
	c.updateStoreState(now, r, change)
	c.apply(now, r, change)
}

// apply puts the changes of a call in force and makes them available to other hosts.
func (c *control) apply(now time.Duration, r readResult, change follow.Change) {
	follower := r.resource.follower
	if change.Restored {
		c.recordRestore(now, r, change)
	}
	hadConfig := c.configValue != nil
	if follower == c.config {
		change.Objects = c.keepNewerConfig(change.Objects)
	}
	change.Objects = c.peerServer.update(r.resource.kind, change, follower.Era(), r.outcome.Page.Revision)
	if r.resource.apply(now, change) {
		c.publish(now)
		c.observeChange(r.resource, change)
	}
	if change.Complete {
		c.peerServer.markCurrent(r.resource.kind, follower.Era(), follower.Revision(), r.requestedAt-r.reply.Age)
	}
	firstConfig := !hadConfig && c.configValue != nil
	if firstConfig || change.Restored && follower == c.config {
		c.requestNewerConfig(now)
	}
	c.source.Store(&readSource{peer: c.activePeer, storeUnavailable: c.storeUnavailable})
	c.peerServer.setGraceUntil(c.directory.GraceUntil())
	// Stored after the view that holds the data of these reads is published.
	for _, f := range c.followers {
		f.readAt.Store(int64(f.follower.CompleteAsOf()))
	}
}

// observeChange records an upper limit of the time until a change took effect: it was
// made after the previous complete read.
func (c *control) observeChange(res *resource, change follow.Change) {
	previousRead := time.Duration(res.readAt.Load())
	if previousRead > 0 && len(change.Objects) > 0 {
		c.edge.metrics.observeChange(res.kind, c.edge.now()-previousRead)
	}
}

// updateStoreState records whether the store answers, and logs when that changes.
func (c *control) updateStoreState(now time.Duration, r readResult, change follow.Change) {
	if change.Failed {
		c.directory.RecordStoreFailure(now)
		c.publishIncomplete(now)
	}
	if change.Failed == c.storeUnavailable {
		return
	}
	c.storeUnavailable = change.Failed
	if change.Failed {
		c.edge.log.Warn("store lost", "kind", r.resource.kind, "result", r.outcome.Result.String(), "last_answer", (now - r.resource.follower.LastStoreAnswer()).String())
		return
	}
	c.edge.log.Info("store regained", "kind", r.resource.kind)
}

// publishIncomplete publishes a view that no longer claims to hold every running target,
// if the view in force does.
func (c *control) publishIncomplete(now time.Duration) {
	if view := c.edge.view.Load(); view != nil && view.Complete {
		c.publish(now)
	}
}

// publish builds a view and puts it in force.
func (c *control) publish(now time.Duration) {
	var view *catalog.View
	view, c.rebuildAt = c.directory.View(now)
	c.edge.view.Store(view)
	if !c.wasReady && view.Ready() {
		c.wasReady = true
		close(c.edge.firstReady)
		c.edge.log.Info("ready", "config", view.Version, "targets", c.directory.Targets(), "after", now.String())
	}
}

// close cancels the calls, waits up to a second for them, and closes all connections.
func (c *control) close() {
	c.cancel()
	// Not ReleaseTimeout, which waits for the pool's own goroutines in a busy loop.
	c.pool.Release()
	c.broadcaster.close()
	if !waitFor(&c.calls, callsTimeout) {
		c.edge.log.Warn("calls to the store or other hosts still running at shutdown")
	}
	c.storeClient.Close()
	c.peerClient.Close()
	c.peerServer.close()
}
