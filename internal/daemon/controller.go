package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/control"
	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

const (
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueue = 1024
	// reportInterval is the time between two traffic reports.
	reportInterval = time.Second
	// refusedRetryAfter is when a platform call may be tried again that found
	// too many others under way.
	refusedRetryAfter = 500 * time.Millisecond
)

// Counter names of the control goroutine.
const (
	countEventsDropped = "control_messages_dropped"
	countCallsRefused  = "control_calls_refused"
)

// controller is the control goroutine and what leads into it. Only run's
// goroutine touches core, snapshot, deferred and report.
type controller struct {
	daemon   *Daemon
	core     *control.Machine
	snapshot *state.Snapshot
	deferred []control.Event
	report   reporter
	stopped  bool

	events   chan control.Event
	queries  chan func()
	passedOn chan struct{}
	// done is closed at the end; ctx ends with it.
	done   chan struct{}
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
}

func newController(d *Daemon) *controller {
	c := &controller{
		daemon:   d,
		snapshot: &state.Snapshot{Self: d.settings.Host},
		events:   make(chan control.Event, eventQueue),
		queries:  make(chan func()),
		passedOn: make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.core = control.New(control.Settings{
		Self:          d.settings.Host,
		Incarnation:   uint64(time.Now().UnixMicro()),
		Peers:         d.settings.Seeds,
		LeaveDeadline: d.settings.LeaveDeadline,
	}, rng)
	return c
}

// run steps the core until it asks to stop.
func (c *controller) run(leave <-chan struct{}) {
	tick := time.NewTicker(control.TickInterval)
	defer tick.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	c.step(control.Tick{})
	for !c.stopped {
		select {
		case <-tick.C:
			c.step(control.Tick{})
			c.resume()
		case <-report.C:
			c.step(c.report.next(c.snapshot, c.daemon.pool.Flows()))
		case event := <-c.events:
			c.step(event)
		case query := <-c.queries:
			query()
		case <-c.passedOn:
			c.step(control.RecordsHandedOver{})
		case <-leave:
			leave = nil
			c.daemon.log.Info(LogLeaveRequested)
			c.step(control.LeaveRequested{})
		}
	}
}

// step hands an event to the core and does what it returns, deferred events
// included.
func (c *controller) step(event control.Event) {
	c.deferred = append(c.deferred, event)
	for len(c.deferred) > 0 {
		next := c.deferred[0]
		c.deferred = c.deferred[1:]
		for _, action := range c.core.Step(time.Now(), next) {
			c.do(action)
		}
	}
	c.daemon.gauges.set(c)
}

// resume ends what holds packets back after a pause, once the core has noticed
// the pause at a tick and heard of releases since.
func (c *controller) resume() {
	now := time.Now()
	if c.core.Ready(now) {
		c.daemon.pool.Resume(now)
	}
}

func (c *controller) do(action control.Action) {
	switch a := action.(type) {
	case control.Send:
		c.daemon.peers.Send(a.To, a.Message)
	case control.PlatformCall:
		c.call(a)
	case control.Publish:
		c.snapshot = a.Snapshot
		c.daemon.pool.Publish(a.Snapshot)
	case control.HandOverRecords:
		c.daemon.pool.PassOn()
	case control.Stop:
		c.stopped = true
	case control.Log:
		c.daemon.log.Info(a.Name, "detail", a.Detail)
	}
}

// call runs a platform call on a worker; exactly one answer follows.
func (c *controller) call(call control.PlatformCall) {
	err := c.daemon.calls.Submit(func() {
		outcome := c.daemon.client.Do(c.ctx, call.Call)
		c.answer(control.PlatformCallCompleted{ID: call.ID, Call: call.Call, Outcome: outcome})
	})
	if err == nil {
		return
	}
	c.daemon.counters.Add(countCallsRefused, 1)
	outcome := objects.Outcome{Result: objects.ResultRefused, RetryAfter: refusedRetryAfter}
	c.deferred = append(c.deferred, control.PlatformCallCompleted{ID: call.ID, Call: call.Call, Outcome: outcome})
}

// answer waits until the control goroutine takes the event.
func (c *controller) answer(event control.Event) {
	select {
	case c.events <- event:
	case <-c.done:
	}
}

// deliver takes a message from another entry host. A message that finds the
// queue full is dropped and counted.
func (c *controller) deliver(from state.Host, m message.Message) {
	select {
	case c.events <- control.MessageReceived{From: from, Message: m}:
	default:
		c.daemon.counters.Add(countEventsDropped, 1)
	}
}

// recordsPassedOn is called by the packet path's workers.
func (c *controller) recordsPassedOn() {
	select {
	case c.passedOn <- struct{}{}:
	default:
	}
}

// ask runs a query on the control goroutine. It returns false if the daemon
// has stopped.
func (c *controller) ask(query func()) bool {
	answered := make(chan struct{})
	run := func() {
		query()
		close(answered)
	}
	select {
	case c.queries <- run:
	case <-c.done:
		return false
	}
	<-answered
	return true
}

func (c *controller) close() {
	c.once.Do(func() {
		close(c.done)
		c.cancel()
	})
}
