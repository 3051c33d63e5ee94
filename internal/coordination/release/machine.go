package release

import (
	"math/rand/v2"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Settings configures a Machine.
type Settings struct {
	Self    state.Host
	Variant Variant
}

// Event is a log event with a stable name.
type Event struct {
	Name   string
	Detail string
}

// Output holds the messages, platform calls and log events that the machine has
// produced.
type Output struct {
	Sends  []message.Outgoing
	Calls  []objects.Call
	Events []Event
}

// callKey identifies a platform call; at most one call per key is outstanding.
type callKey struct {
	verb objects.Verb
	key  string
}

// Machine is the release agreement state machine of one entry host.
type Machine struct {
	settings Settings
	rng      *rand.Rand
	out      Output
	members  memberView
	platform platformState
	// knownHead is the newest head received from the platform or a peer.
	knownHead HeadDigest
	// head is the full head object as last read from the platform, and
	// headVersion its object version.
	head        objects.Head
	headVersion uint64
	// headChangedAt is when knownHead was last replaced.
	headChangedAt time.Time
	current       *state.Release
	notes         noteStore
	staging       staging
	coordinator   coordinator
	fetch         fetch
	status        status
	digests       digestSchedule
	// startedAt is the time of the first event, lastActive that of the last one.
	startedAt  time.Time
	lastActive time.Time
	// awaitDigestsUntil ends the wait for digests after a start or a pause of
	// this process.
	awaitDigestsUntil time.Time
	// rejoiningUntil ends the time in which a newer release counts as accepted
	// while this host was away.
	rejoiningUntil time.Time
	// missedReleases reports whether releases were accepted while this host was
	// away and are not installed yet.
	missedReleases bool
}

// New returns a machine without a release.
func New(settings Settings, rng *rand.Rand) *Machine {
	return &Machine{
		settings:    settings,
		rng:         rng,
		members:     newMemberView(settings.Self),
		platform:    newPlatformState(),
		notes:       newNoteStore(),
		staging:     newStaging(),
		coordinator: newCoordinator(),
		status:      newStatus(),
	}
}

// SetView sets the current membership view.
func (m *Machine) SetView(view state.MembershipView) {
	before := m.members.ownDomainMembers()
	m.members.setView(view)
	m.status.trackDead(m.lastActive, before, m.members.ownDomainMembers())
	m.status.pruneVersions(view)
}

// RecordVersion records which release is in force on another host according to
// membership. The value may be out of date; one lower than known is ignored.
func (m *Machine) RecordVersion(host state.HostID, version state.ReleaseVersion) {
	if version > m.status.versions[host] {
		m.status.recordVersion(host, version)
	}
}

// IsWatcher reports whether this host is one of its domain's watchers.
func (m *Machine) IsWatcher(now time.Time) bool { return m.isWatcher(now) }

// Current returns the release in force on this host, nil for none.
func (m *Machine) Current() *state.Release { return m.current }

// Version returns the version of the release in force on this host.
func (m *Machine) Version() state.ReleaseVersion {
	if m.current == nil {
		return 0
	}
	return m.current.Version
}

// KnownHead returns the newest head that this host knows.
func (m *Machine) KnownHead() HeadDigest { return m.knownHead }

// DrainOutput returns the gathered output and clears it.
func (m *Machine) DrainOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

// Tick does the periodic work.
func (m *Machine) Tick(now time.Time) {
	m.detectPause(now)
	m.watchHead(now)
	m.advance(now)
	m.stagePending(now)
	m.aggregateStaging(now)
	m.coordinate(now)
	m.reportStatus(now)
	m.writeCheckpoint(now)
	m.gossipDigest(now)
}

// Receive handles a message of this package and ignores others.
func (m *Machine) Receive(now time.Time, from state.Host, received message.Message) {
	m.detectPause(now)
	switch msg := received.(type) {
	case Digest:
		m.receiveDigest(now, from, msg)
	case FetchRequest:
		m.receiveFetchRequest(from, msg)
	case FetchReply:
		m.receiveFetchReply(now, msg)
	case StagingReport:
		m.receiveStagingReport(now, from, msg)
	case InForceReport:
		m.status.recordVersion(from.ID, msg.Version)
		m.reportStatus(now)
	case StatusWriteRequest:
		m.receiveWriteRequest(now, msg)
	}
}

// Handles reports whether the message belongs to this package.
func Handles(received message.Message) bool {
	switch received.(type) {
	case Digest, FetchRequest, FetchReply, StagingReport, InForceReport, StatusWriteRequest:
		return true
	}
	return false
}

func (m *Machine) send(to state.Host, msg message.Message) {
	if to.ID == m.settings.Self.ID {
		return
	}
	m.out.Sends = append(m.out.Sends, message.Outgoing{To: to, Message: msg})
}

func (m *Machine) log(name, detail string) {
	m.out.Events = append(m.out.Events, Event{Name: name, Detail: detail})
}
