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
	// eventQueueSize bounds the events queued for the control goroutine.
	eventQueueSize = 1024
	// reportInterval is the time between two traffic reports.
	reportInterval = time.Second
	// refusedRetryAfter is the delay before the retry of a platform call that was
	// refused because too many others were in progress.
	refusedRetryAfter = 500 * time.Millisecond
)

// Names of the control goroutine's counters.
const (
	counterEventsDropped = "control_messages_dropped"
	counterCallsRefused  = "control_calls_refused"
)

// controller is the control goroutine and its input channels. machine, snapshot, deferred,
// reporter and stopped belong to the goroutine of run.
type controller struct {
	daemon   *Daemon
	machine  *control.Machine
	snapshot *state.Snapshot
	deferred []control.Event
	reporter reporter
	stopped  bool

	events            chan control.Event
	queries           chan func()
	recordsHandedOver chan struct{}
	// done is closed when the controller is closed; ctx is cancelled with it.
	done      chan struct{}
	closeOnce sync.Once
	ctx       context.Context
	cancel    context.CancelFunc
}

func newController(d *Daemon) *controller {
	c := &controller{
		daemon:            d,
		snapshot:          &state.Snapshot{Self: d.settings.Host},
		events:            make(chan control.Event, eventQueueSize),
		queries:           make(chan func()),
		recordsHandedOver: make(chan struct{}, 1),
		done:              make(chan struct{}),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.machine = control.New(control.Settings{
		Self:          d.settings.Host,
		Run:           uint64(time.Now().UnixMicro()),
		Seeds:         d.settings.Seeds,
		LeaveDeadline: d.settings.LeaveDeadline,
	}, rng)
	return c
}

// begin makes the first step, so that what others read of the control state is there. It
// runs on the goroutine of run.
func (c *controller) begin() { c.step(control.Tick{}) }

// run handles events until the machine returns a Stop action.
func (c *controller) run(leave <-chan struct{}) {
	tick := time.NewTicker(control.TickInterval)
	defer tick.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for !c.stopped {
		select {
		case <-tick.C:
			c.step(control.Tick{})
			c.resumePackets()
		case <-report.C:
			c.step(c.reporter.nextReport(c.snapshot, c.daemon.packetPool.Flows()))
		case event := <-c.events:
			c.step(event)
		case query := <-c.queries:
			query()
		case <-c.recordsHandedOver:
			c.step(control.RecordsHandedOver{})
		case <-leave:
			leave = nil
			c.daemon.log.Info(LogLeaveRequested)
			c.step(control.LeaveRequested{})
		}
	}
}

// step passes an event to the machine and executes the actions that it returns. It also
// handles the events that the actions defer.
func (c *controller) step(event control.Event) {
	c.deferred = append(c.deferred, event)
	for len(c.deferred) > 0 {
		next := c.deferred[0]
		c.deferred = c.deferred[1:]
		for _, action := range c.machine.Step(time.Now(), next) {
			c.execute(action)
		}
	}
	c.daemon.gauges.update(c)
}

// resumePackets lets workers process packets again after a pause of this process, once
// the machine is ready: it has detected the pause at a tick, and has since had time to
// learn of newer releases from other hosts.
func (c *controller) resumePackets() {
	now := time.Now()
	if c.machine.Ready(now) {
		c.daemon.packetPool.Resume(now)
	}
}

func (c *controller) execute(action control.Action) {
	switch a := action.(type) {
	case control.Send:
		c.daemon.sender.Send(a.To, a.Message)
	case control.PlatformCall:
		c.startPlatformCall(a)
	case control.Publish:
		c.snapshot = a.Snapshot
		c.daemon.packetPool.Publish(a.Snapshot)
	case control.HandOverRecords:
		c.daemon.packetPool.HandOverRecords()
	case control.Stop:
		c.stopped = true
	case control.Log:
		c.daemon.log.Info(a.Name, "detail", a.Detail)
	}
}

// startPlatformCall runs a platform call on a worker. Each call is answered by exactly
// one PlatformCallCompleted event; a call that no worker accepts is answered as refused.
func (c *controller) startPlatformCall(call control.PlatformCall) {
	err := c.daemon.callPool.Submit(func() {
		outcome := c.daemon.platformClient.Do(c.ctx, call.Call)
		c.enqueueAnswer(control.PlatformCallCompleted{ID: call.ID, Call: call.Call, Outcome: outcome})
	})
	if err == nil {
		return
	}
	c.daemon.counters.Add(counterCallsRefused, 1)
	outcome := objects.Outcome{Result: objects.ResultRefused, RetryAfter: refusedRetryAfter}
	c.deferred = append(c.deferred, control.PlatformCallCompleted{ID: call.ID, Call: call.Call, Outcome: outcome})
}

// enqueueAnswer queues the event. It blocks while the queue is full and discards the
// event if the controller is closed.
func (c *controller) enqueueAnswer(event control.Event) {
	select {
	case c.events <- event:
	case <-c.done:
	}
}

// enqueueMessage queues a message from another entry host. It drops and counts the
// message if the queue is full.
func (c *controller) enqueueMessage(from state.Host, m message.Message) {
	select {
	case c.events <- control.MessageReceived{From: from, Message: m}:
	default:
		c.daemon.counters.Add(counterEventsDropped, 1)
	}
}

// signalRecordsHandedOver signals that all flow records were handed over. The packet path's
// workers call it.
func (c *controller) signalRecordsHandedOver() {
	select {
	case c.recordsHandedOver <- struct{}{}:
	default:
	}
}

// runQuery runs a query on the control goroutine and waits for its end. It returns
// false without running it if the daemon has stopped.
func (c *controller) runQuery(query func()) bool {
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
	c.closeOnce.Do(func() {
		close(c.done)
		c.cancel()
	})
}
