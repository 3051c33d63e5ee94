package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/coordination/follow"
	"github.com/guavawharf/guavawharf/internal/coordination/peers"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/transport/peerlink"
	"github.com/guavawharf/guavawharf/internal/transport/store"
	"github.com/guavawharf/guavawharf/platform"
)

// control follows the store in one goroutine and publishes views.
type control struct {
	edge      *Edge
	client    *store.Client
	reads     *reads
	peers     *peerlink.Client
	chooser   *peers.Chooser
	pool      *ants.Pool
	directory *catalog.Directory
	followers []*followed
	// config and targets are the followers of both kinds.
	config  *follow.Follower
	targets *follow.Follower
	answers chan answer
	// hurry asks for a read of the targets now.
	hurry chan struct{}
	// asked tells that another host asked this one for the first time in a while.
	asked chan struct{}
	// overloaded tells that the packets take nearly all of the time.
	overloaded chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	// rebuildAt is when the view changes by time alone, 0 for never.
	rebuildAt time.Duration
	// wasReady tells that a view that can serve was published.
	wasReady bool
	// lastPeer is the host whose answer was of use last.
	lastPeer netip.AddrPort
	// source is what operators are told of whom this host reads from.
	source atomic.Pointer[sourceState]
	// storeLost tells that the store's loss was logged.
	storeLost bool
}

func newControl(e *Edge) (*control, error) {
	pool, err := ants.NewPool(storeCalls+sideCalls, ants.WithPanicHandler(stop))
	if err != nil {
		return nil, oops.Code("call_pool").Wrap(err)
	}
	reads, err := openReads(e, platform.KindConfig, platform.KindTargets)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	bound := min(e.settings.ChangeBound, e.settings.DrainBound)
	c := &control{
		edge:       e,
		client:     store.NewClient(storeSettings(e), e.metrics),
		reads:      reads,
		peers:      peerlink.NewClient(share(bound, peerTimeoutShare)),
		chooser:    peers.NewChooser(e.settings.Control, e.settings.Seeds, rand.Float64),
		pool:       pool,
		answers:    make(chan answer, storeCalls),
		hurry:      make(chan struct{}, 1),
		asked:      make(chan struct{}, 1),
		overloaded: make(chan struct{}, 1),
		ctx:        ctx,
		cancel:     cancel,
		directory: catalog.NewDirectory(catalog.Settings{
			KeepDeparted: e.settings.MaxFlowAge + departedMargin,
			LapseGrace:   lapseGrace,
		}),
	}
	c.source.Store(&sourceState{})
	// The configuration is read as it is now before anything is served by it. Of
	// targets there are many: old lists spare the store when all hosts start.
	c.config = c.follow(follow.Settings{Kind: platform.KindConfig}, e.settings.ChangeBound, &e.configRead, c.applyConfig)
	c.targets = c.follow(follow.Settings{Kind: platform.KindTargets, AllowStaleFirstList: true}, e.settings.DrainBound, &e.targetsRead, c.applyTargets)
	return c, nil
}

// stop ends the process: a call that panics would leave its follower waiting
// forever.
func stop(cause any) { panic(cause) }

// hurryTargets asks for a read of the targets now; it never waits.
func (c *control) hurryTargets() { signal(c.hurry) }

// signal wakes a receiver; it never waits, since one signal is enough.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// run makes the calls that are due and takes their answers.
func (c *control) run() {
	timer := time.NewTimer(0)
	for {
		select {
		case <-c.ctx.Done():
			return
		case a := <-c.answers:
			c.take(a)
		case <-c.hurry:
			c.targets.PollSoon(c.edge.now())
		case <-c.asked:
		case <-c.overloaded:
			c.askToStepAside(c.edge.now())
		case <-timer.C:
		}
		now := c.edge.now()
		c.callDue(now)
		if c.rebuildAt > 0 && now >= c.rebuildAt {
			c.publish(now)
		}
		timer.Reset(c.nextWake(now) - now)
	}
}

func (c *control) nextWake(now time.Duration) time.Duration {
	wake := now + idleWake
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

// take hands the answer of a call to its follower and puts changes in force.
func (c *control) take(a answer) {
	now := c.edge.now()
	if a.peer.IsValid() {
		c.takePeer(now, a)
		return
	}
	change := a.of.follower.HandleStoreOutcome(now, a.call, a.outcome)
	c.noteStore(now, a, change)
	c.apply(now, a, change)
}

// apply puts what a call brought in force, and tells other hosts of it.
func (c *control) apply(now time.Duration, a answer, change follow.Change) {
	change.Objects = c.reads.put(a.of.kind, change, a.outcome.Page.Revision)
	if a.of.apply(now, change) {
		c.publish(now)
		c.noteInForce(a.of, change)
	}
	if change.Complete {
		c.reads.whole(a.of.kind, a.of.follower.Revision(), a.asked-a.told.Age)
	}
	c.source.Store(&sourceState{peer: c.lastPeer, storeAway: c.storeLost})
	c.reads.doubt(c.directory.DoubtUntil())
	// After the view that holds what was read.
	for _, f := range c.followers {
		f.read.Store(int64(f.follower.CompleteAsOf()))
	}
}

// noteInForce counts how long a change took to be in force, at most: it was made after
// the read before.
func (c *control) noteInForce(of *followed, change follow.Change) {
	before := time.Duration(of.read.Load())
	if before > 0 && len(change.Objects) > 0 {
		c.edge.metrics.inForce(of.kind, c.edge.now()-before)
	}
}

// noteStore logs when the store is lost and when it is back.
func (c *control) noteStore(now time.Duration, a answer, change follow.Change) {
	if change.Failed {
		c.directory.StoreAway(now)
		c.publishIncomplete(now)
	}
	if change.Failed == c.storeLost {
		return
	}
	c.storeLost = change.Failed
	if change.Failed {
		c.edge.log.Warn("store lost", "kind", a.of.kind, "result", a.outcome.Result.String(), "last_answer", (now - a.of.follower.LastStoreAnswer()).String())
		return
	}
	c.edge.log.Info("store regained", "kind", a.of.kind)
}

// publishIncomplete takes back that every living target is known, if the view in
// force says so.
func (c *control) publishIncomplete(now time.Duration) {
	if view := c.edge.view.Load(); view != nil && view.Complete {
		c.publish(now)
	}
}

// publish puts a new view in force.
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

// close ends the calls.
func (c *control) close() {
	c.cancel()
	if err := c.pool.ReleaseTimeout(time.Second); err != nil && !errors.Is(err, ants.ErrPoolClosed) {
		c.edge.log.Warn("store calls still run", "error", err.Error())
	}
	c.client.Close()
	c.peers.Close()
	c.reads.close()
}
