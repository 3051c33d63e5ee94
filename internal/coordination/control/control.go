package control

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/listing"
	"github.com/guavawharf/guavawharf/internal/coordination/membership"
	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// versionsInterval is the time between two looks at the versions that
// membership carries.
const versionsInterval = time.Second

// Machine is the control state of one entry host. It is not safe for
// concurrent use: one goroutine steps it and reads from it.
type Machine struct {
	settings  Settings
	members   *membership.Machine
	release   *release.Machine
	listing   *listing.Machine
	publisher publisher
	leave     leave
	started   bool
	lastID    RequestID
	// listRevision is the revision of the host list given to membership.
	listRevision uint64
	epoch        uint32
	versionsAt   time.Time
	actions      []Action
}

// New returns the control state of a host that has just started.
func New(settings Settings, rng *rand.Rand) *Machine {
	if settings.LeaveDeadline == 0 {
		settings.LeaveDeadline = DefaultLeaveDeadline
	}
	return &Machine{
		settings:  settings,
		members:   membership.New(settings.Self, settings.Incarnation, rng),
		release:   release.New(release.Settings{Self: settings.Self, Variant: settings.ReleaseVariant}, rng),
		listing:   listing.New(settings.Self, rng),
		publisher: newPublisher(settings.Self),
	}
}

// Step handles one event and returns what the edge has to do.
func (c *Machine) Step(now time.Time, event Event) []Action {
	c.start(now)
	switch ev := event.(type) {
	case Tick:
		c.tick(now)
	case MessageReceived:
		c.receive(now, ev.From, ev.Message)
	case PlatformCallCompleted:
		c.answered(now, ev)
	case LeaveRequested:
		c.requestLeave(now)
	case TrafficReported:
		c.publisher.judge.report(now, ev)
	case RecordsHandedOver:
		c.leave.passedOn(now)
	}
	c.settle(now)
	actions := c.actions
	c.actions = nil
	return actions
}

// start seeds membership at the first event.
func (c *Machine) start(now time.Time) {
	if c.started {
		return
	}
	c.started = true
	c.members.Seed(now, c.settings.Peers)
}

func (c *Machine) tick(now time.Time) {
	c.send(c.members.Tick(now))
	c.shareVersions(now)
	c.shareView()
	c.release.Tick(now)
	c.listing.Tick(now, c.release.Watching(now))
	c.stepLeave(now)
}

func (c *Machine) receive(now time.Time, from state.Host, received message.Message) {
	switch {
	case c.members.Handles(received):
		c.send(c.members.Receive(now, from, received))
		c.shareView()
	case release.Handles(received):
		c.release.Receive(now, from, received)
	case listing.Handles(received):
		c.listing.Receive(from, received)
	}
}

func (c *Machine) answered(now time.Time, ev PlatformCallCompleted) {
	if strings.HasPrefix(ev.Call.Key, listing.Prefix) {
		c.listing.Answered(now, ev.Outcome)
		return
	}
	c.release.Answered(now, ev.Call, ev.Outcome)
}

// shareVersions tells the release machine what membership heard to be in force
// on the other hosts.
func (c *Machine) shareVersions(now time.Time) {
	if now.Sub(c.versionsAt) < versionsInterval {
		return
	}
	c.versionsAt = now
	for _, entry := range c.members.ReleaseVersions() {
		c.release.SetVersion(entry.Host, entry.Version)
	}
}

// shareView tells the other machines what membership believes.
func (c *Machine) shareView() {
	view := c.members.View()
	if view.Epoch == c.epoch {
		return
	}
	c.epoch = view.Epoch
	c.release.SetView(view)
	c.listing.SetView(view)
}

// settle gathers what the machines want done and publishes what has changed.
func (c *Machine) settle(now time.Time) {
	c.takeLists(now)
	c.members.SetReleaseVersion(c.release.Version())
	out := c.release.Take()
	c.send(out.Sends)
	c.call(out.Calls)
	for _, event := range out.Events {
		c.log(event.Name, event.Detail)
	}
	c.publish(now)
}

// takeLists hands the platform's lists to membership and health.
func (c *Machine) takeLists(now time.Time) {
	out := c.listing.Take()
	c.send(out.Sends)
	c.call(out.Calls)
	hosts, revision := c.listing.Hosts()
	if revision > c.listRevision {
		c.listRevision = revision
		c.members.HostList(now, hosts)
	}
	c.publisher.judge.setLoads(now, c.listing)
}

func (c *Machine) publish(now time.Time) {
	snapshot := c.publisher.next(now, publishInput{
		release: c.release.Current(),
		view:    c.members.View(),
		ready:   c.ready(now),
		leaving: c.leave.begun(),
	})
	if snapshot != nil {
		c.actions = append(c.actions, Publish{Snapshot: snapshot})
	}
}

// ready tells whether this host may admit new flows.
func (c *Machine) ready(now time.Time) bool {
	return c.release.Current() != nil && !c.release.CatchingUp(now)
}

func (c *Machine) send(outgoing []message.Outgoing) {
	for _, out := range outgoing {
		c.actions = append(c.actions, Send(out))
	}
}

func (c *Machine) call(calls []objects.Call) {
	for _, call := range calls {
		c.lastID++
		c.actions = append(c.actions, PlatformCall{ID: c.lastID, Call: call})
	}
}

func (c *Machine) log(name, detail string) {
	c.actions = append(c.actions, Log{Name: name, Detail: detail})
}
