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
	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/guavawharf/guavawharf/internal/transport/peerlink"
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
	// link is what operators are told of whom this host reads from.
	link atomic.Pointer[sourceState]
	// storeLost tells that the store's loss was logged.
	storeLost bool
}

// followed is one kind of objects with what takes its changes.
type followed struct {
	kind     string
	follower *follow.Follower
	apply    func(now time.Duration, change follow.Change) (changed bool)
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
		reads:   reads,
		peers:   peerlink.NewClient(share(bound, peerTimeoutShare)),
		chooser: peers.NewChooser(e.settings.Control, e.settings.Seeds, rand.Float64),
		edge:    e,
		client:  store.NewClient(storeSettings(e), e.metrics),
		pool:    pool,
		answers: make(chan answer, storeCalls),
		hurry:   make(chan struct{}, 1),
		asked:   make(chan struct{}, 1),

		overloaded: make(chan struct{}, 1),
		ctx:        ctx,
		cancel:     cancel,
		directory: catalog.NewDirectory(catalog.Settings{
			KeepDeparted: e.settings.MaxFlowAge + departedMargin,
			LapseGrace:   lapseGrace,
		}),
	}
	c.link.Store(&sourceState{})
	// The configuration is read as it is now before anything is served by it. Of
	// targets there are many: old lists spare the store when all hosts start.
	c.config = c.follow(follow.Settings{Kind: platform.KindConfig}, e.settings.ChangeBound, c.applyConfig)
	c.targets = c.follow(follow.Settings{Kind: platform.KindTargets, StaleStart: true}, e.settings.DrainBound, c.applyTargets)
	return c, nil
}

// stop ends the process: a call that panics would leave its follower waiting
// forever.
func stop(cause any) { panic(cause) }

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
func (c *control) follow(settings follow.Settings, bound time.Duration, apply func(time.Duration, follow.Change) bool) *follow.Follower {
	settings.Interval = share(bound, intervalShare)
	settings.ServingInterval = share(bound, servingShare)
	settings.PeerInterval = share(bound, peerAgeShare)
	settings.HurryInterval = hurryInterval
	settings.RetryMin = retryMin
	settings.RetryMax = retryMax
	follower := follow.New(settings, rand.Float64)
	c.followers = append(c.followers, &followed{kind: settings.Kind, apply: apply, follower: follower})
	return follower
}

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
			c.targets.Hurry(c.edge.now())
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

// callDue starts the calls that are due.
func (c *control) callDue(now time.Duration) {
	serving := c.reads.serving(now)
	for _, f := range c.followers {
		peer, found := c.chooser.Pick(now, f.follower.Failing())
		f.follower.SetPeers(now, found, serving)
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
		if call, ok := f.follower.Along(now); ok {
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
		asked.of.follower.Answer(now, asked.call, objects.Outcome{Result: objects.ResultRefused})
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
	change := a.of.follower.Answer(now, a.call, a.outcome)
	c.noteStore(now, a, change)
	c.apply(now, a, change)
}

// apply puts what a call brought in force, and tells other hosts of it.
func (c *control) apply(now time.Duration, a answer, change follow.Change) {
	change.Objects = c.reads.put(a.of.kind, change, a.outcome.Page.Revision)
	if a.of.apply(now, change) {
		c.publish(now)
	}
	if change.Whole {
		c.reads.whole(a.of.kind, a.of.follower.Revision(), a.asked-a.told.Age)
	}
	c.link.Store(&sourceState{peer: c.lastPeer, storeAway: c.storeLost})
	c.reads.doubt(c.directory.DoubtUntil())
	// After the view that holds what was read.
	c.edge.configRead.Store(int64(c.config.ReadAt()))
	c.edge.targetsRead.Store(int64(c.targets.ReadAt()))
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
		c.edge.log.Warn("store lost", "kind", a.of.kind, "result", a.outcome.Result.String(), "last_answer", (now - a.of.follower.LastGood()).String())
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

func (c *control) applyConfig(now time.Duration, change follow.Change) bool {
	changed := false
	for _, object := range change.Objects {
		if object.Deleted || object.Key != platform.NameConfig {
			continue
		}
		config, bad, err := platform.DecodeConfig(object.Value)
		if err != nil {
			c.edge.log.Error("configuration not read, the one in force stays", "revision", object.Revision, "error", err.Error())
			continue
		}
		for _, err := range bad {
			c.edge.log.Error("route left out", "config", config.Version, "error", err.Error())
		}
		if c.directory.SetConfig(config) {
			changed = true
			c.edge.log.Info("configuration in force", "config", config.Version, "revision", object.Revision, "routes", len(config.Routes))
		}
	}
	return changed
}

func (c *control) applyTargets(now time.Duration, change follow.Change) bool {
	for _, object := range change.Objects {
		c.applyTarget(now, object)
	}
	if change.Listed != nil {
		c.directory.RemoveAllBut(now, change.Listed)
	}
	return len(change.Objects) > 0 || change.Listed != nil
}

func (c *control) applyTarget(now time.Duration, object objects.Object) {
	if object.Deleted {
		c.directory.Remove(now, object.Key)
		c.edge.log.Info("target gone", "target", object.Key, "revision", object.Revision)
		return
	}
	target, err := platform.DecodeTarget(object.Key, object.Value)
	if err != nil {
		c.directory.PutUnreadable(now, object.Key)
		c.edge.log.Warn("target entry not read", "target", object.Key, "revision", object.Revision, "error", err.Error())
		return
	}
	c.directory.Put(target)
	c.edge.log.Info("target", "target", target.Name, "pool", string(target.Pool), "domain", string(target.Domain),
		"draining", target.Draining, "revision", object.Revision)
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
