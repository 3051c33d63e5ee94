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
	hostListRevision     uint64
	viewEpoch            uint32
	versionsPropagatedAt time.Time
	actions              []Action
}

// New returns the state machine of a host that has just started.
func New(settings Settings, rng *rand.Rand) *Machine {
	if settings.LeaveDeadline == 0 {
		settings.LeaveDeadline = DefaultLeaveDeadline
	}
	return &Machine{
		settings:   settings,
		membership: membership.New(settings.Self, settings.Run, rng),
		release:    release.New(release.Settings{Self: settings.Self, Variant: settings.ReleaseVariant}, rng),
		listing:    listing.New(settings.Self, rng),
		publisher:  newPublisher(settings.Self),
	}
}

// Step handles one event and returns the actions for the daemon, in order.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.seedMembership(now)
	switch ev := event.(type) {
	case Tick:
		m.tick(now)
	case MessageReceived:
		m.dispatchMessage(now, ev.From, ev.Message)
	case PlatformCallCompleted:
		m.dispatchOutcome(now, ev)
	case LeaveRequested:
		m.requestLeave(now)
	case TrafficReported:
		m.publisher.health.recordTraffic(now, ev)
	case RecordsHandedOver:
		m.leave.completeHandover(now)
	}
	m.collectOutput(now)
	actions := m.actions
	m.actions = nil
	return actions
}

// seedMembership passes the seed hosts to membership at the first event.
func (m *Machine) seedMembership(now time.Time) {
	if m.seeded {
		return
	}
	m.seeded = true
	m.membership.AddSeeds(now, m.settings.Seeds)
}

func (m *Machine) tick(now time.Time) {
	m.addSends(m.membership.Tick(now))
	m.propagateVersions(now)
	m.propagateView()
	m.release.Tick(now)
	m.listing.Tick(now, m.release.IsWatcher(now))
	m.advanceLeave(now)
}

func (m *Machine) dispatchMessage(now time.Time, from state.Host, msg message.Message) {
	switch {
	case m.membership.Handles(msg):
		m.addSends(m.membership.Receive(now, from, msg))
		m.propagateView()
	case release.Handles(msg):
		m.release.Receive(now, from, msg)
	case listing.Handles(msg):
		m.listing.Receive(from, msg)
	}
}

func (m *Machine) dispatchOutcome(now time.Time, ev PlatformCallCompleted) {
	if strings.HasPrefix(ev.Call.Key, listing.KeyPrefix) {
		m.listing.HandleOutcome(now, ev.Outcome)
		return
	}
	m.release.HandleOutcome(now, ev.Call, ev.Outcome)
}

// propagateVersions passes the release versions that membership received from
// other hosts to the release machine.
func (m *Machine) propagateVersions(now time.Time) {
	if now.Sub(m.versionsPropagatedAt) < versionsInterval {
		return
	}
	m.versionsPropagatedAt = now
	for _, entry := range m.membership.ReleaseVersions() {
		m.release.RecordVersion(entry.Host, entry.Version)
	}
}

// propagateView passes the membership view to the other machines if it changed.
func (m *Machine) propagateView() {
	view := m.membership.View()
	if view.Epoch == m.viewEpoch {
		return
	}
	m.viewEpoch = view.Epoch
	m.release.SetView(view)
	m.listing.SetView(view)
}

// collectOutput appends the output of the machines to the actions and publishes a
// new snapshot if anything changed.
func (m *Machine) collectOutput(now time.Time) {
	m.collectListing(now)
	m.membership.SetReleaseVersion(m.release.Version())
	out := m.release.DrainOutput()
	m.addSends(out.Sends)
	m.addCalls(out.Calls)
	for _, event := range out.Events {
		m.addLog(event.Name, event.Detail)
	}
	m.publish(now)
}

// collectListing appends the output of the listing machine to the actions and
// passes new host and load lists to membership and target health.
func (m *Machine) collectListing(now time.Time) {
	out := m.listing.DrainOutput()
	m.addSends(out.Sends)
	m.addCalls(out.Calls)
	hosts, revision := m.listing.Hosts()
	if revision > m.hostListRevision {
		m.hostListRevision = revision
		m.membership.SetHostList(now, hosts)
	}
	m.publisher.health.recordLoads(now, m.listing)
}

func (m *Machine) publish(now time.Time) {
	snapshot := m.publisher.nextSnapshot(now, snapshotInput{
		release: m.release.Current(),
		view:    m.membership.View(),
		ready:   m.ready(now),
		leaving: m.leave.inProgress(),
	})
	if snapshot != nil {
		m.actions = append(m.actions, Publish{Snapshot: snapshot})
	}
}

// ready reports whether this host may admit new flows.
func (m *Machine) ready(now time.Time) bool {
	return m.release.Current() != nil && !m.release.CatchingUp(now)
}

func (m *Machine) addSends(outgoing []message.Outgoing) {
	for _, out := range outgoing {
		m.actions = append(m.actions, Send(out))
	}
}

func (m *Machine) addCalls(calls []objects.Call) {
	for _, call := range calls {
		m.lastRequestID++
		m.actions = append(m.actions, PlatformCall{ID: m.lastRequestID, Call: call})
	}
}

func (m *Machine) addLog(name, detail string) {
	m.actions = append(m.actions, Log{Name: name, Detail: detail})
}
