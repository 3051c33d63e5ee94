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

// versionsInterval is the interval at which the release versions gossiped by
// membership are passed to the release machine.
const versionsInterval = time.Second

// Machine is the control state machine of one entry host. It is not safe for
// concurrent use: all calls must come from one goroutine.
type Machine struct {
	settings      Settings
	membership    *membership.Machine
	release       *release.Machine
	listing       *listing.Machine
	publisher     publisher
	leave         leaveProgress
	seeded        bool
	lastRequestID RequestID
	// hostListRevision is the revision of the host list last passed to membership.
	hostListRevision uint64
	viewEpoch        uint32
	versionsSentAt   time.Time
	actions          []Action
}

// New returns the state machine of a host that has just started.
func New(settings Settings, rng *rand.Rand) *Machine {
	if settings.LeaveDeadline == 0 {
		settings.LeaveDeadline = DefaultLeaveDeadline
	}
	return &Machine{
		settings:   settings,
		membership: membership.New(settings.Self, settings.Incarnation, rng),
		release:    release.New(release.Settings{Self: settings.Self, Variant: settings.ReleaseVariant}, rng),
		listing:    listing.New(settings.Self, rng),
		publisher:  newPublisher(settings.Self),
	}
}

// Step handles one event and returns the actions for the daemon, in order.
func (c *Machine) Step(now time.Time, event Event) []Action {
	c.seedMembership(now)
	switch ev := event.(type) {
	case Tick:
		c.tick(now)
	case MessageReceived:
		c.dispatchMessage(now, ev.From, ev.Message)
	case PlatformCallCompleted:
		c.dispatchOutcome(now, ev)
	case LeaveRequested:
		c.requestLeave(now)
	case TrafficReported:
		c.publisher.health.recordTraffic(now, ev)
	case RecordsHandedOver:
		c.leave.completeHandover(now)
	}
	c.collectOutput(now)
	actions := c.actions
	c.actions = nil
	return actions
}

// seedMembership passes the seed hosts to membership at the first event.
func (c *Machine) seedMembership(now time.Time) {
	if c.seeded {
		return
	}
	c.seeded = true
	c.membership.Seed(now, c.settings.Peers)
}

func (c *Machine) tick(now time.Time) {
	c.addSends(c.membership.Tick(now))
	c.propagateVersions(now)
	c.propagateView()
	c.release.Tick(now)
	c.listing.Tick(now, c.release.Watching(now))
	c.advanceLeave(now)
}

func (c *Machine) dispatchMessage(now time.Time, from state.Host, msg message.Message) {
	switch {
	case c.membership.Handles(msg):
		c.addSends(c.membership.Receive(now, from, msg))
		c.propagateView()
	case release.Handles(msg):
		c.release.Receive(now, from, msg)
	case listing.Handles(msg):
		c.listing.Receive(from, msg)
	}
}

func (c *Machine) dispatchOutcome(now time.Time, ev PlatformCallCompleted) {
	if strings.HasPrefix(ev.Call.Key, listing.Prefix) {
		c.listing.Answered(now, ev.Outcome)
		return
	}
	c.release.Answered(now, ev.Call, ev.Outcome)
}

// propagateVersions passes the release versions that membership received from
// other hosts to the release machine.
func (c *Machine) propagateVersions(now time.Time) {
	if now.Sub(c.versionsSentAt) < versionsInterval {
		return
	}
	c.versionsSentAt = now
	for _, entry := range c.membership.ReleaseVersions() {
		c.release.SetVersion(entry.Host, entry.Version)
	}
}

// propagateView passes the membership view to the other machines if it changed.
func (c *Machine) propagateView() {
	view := c.membership.View()
	if view.Epoch == c.viewEpoch {
		return
	}
	c.viewEpoch = view.Epoch
	c.release.SetView(view)
	c.listing.SetView(view)
}

// collectOutput appends the output of the machines to the actions and publishes a
// new snapshot if anything changed.
func (c *Machine) collectOutput(now time.Time) {
	c.collectListing(now)
	c.membership.SetReleaseVersion(c.release.Version())
	out := c.release.Take()
	c.addSends(out.Sends)
	c.addCalls(out.Calls)
	for _, event := range out.Events {
		c.addLog(event.Name, event.Detail)
	}
	c.publish(now)
}

// collectListing appends the output of the listing machine to the actions and
// passes new host and load lists to membership and target health.
func (c *Machine) collectListing(now time.Time) {
	out := c.listing.Take()
	c.addSends(out.Sends)
	c.addCalls(out.Calls)
	hosts, revision := c.listing.Hosts()
	if revision > c.hostListRevision {
		c.hostListRevision = revision
		c.membership.HostList(now, hosts)
	}
	c.publisher.health.recordLoads(now, c.listing)
}

func (c *Machine) publish(now time.Time) {
	snapshot := c.publisher.nextSnapshot(now, snapshotInput{
		release: c.release.Current(),
		view:    c.membership.View(),
		ready:   c.ready(now),
		leaving: c.leave.inProgress(),
	})
	if snapshot != nil {
		c.actions = append(c.actions, Publish{Snapshot: snapshot})
	}
}

// ready reports whether this host may admit new flows.
func (c *Machine) ready(now time.Time) bool {
	return c.release.Current() != nil && !c.release.CatchingUp(now)
}

func (c *Machine) addSends(outgoing []message.Outgoing) {
	for _, out := range outgoing {
		c.actions = append(c.actions, Send(out))
	}
}

func (c *Machine) addCalls(calls []objects.Call) {
	for _, call := range calls {
		c.lastRequestID++
		c.actions = append(c.actions, PlatformCall{ID: c.lastRequestID, Call: call})
	}
}

func (c *Machine) addLog(name, detail string) {
	c.actions = append(c.actions, Log{Name: name, Detail: detail})
}
