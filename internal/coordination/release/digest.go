package release

import (
	"fmt"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
)

// digestSchedule limits the rate of periodic digests.
type digestSchedule struct {
	next time.Time
}

// adoptHead adopts a head digest that is newer than the known one and sends it
// on to peers.
func (m *Machine) adoptHead(now time.Time, head HeadDigest) {
	if head.ObjectVersion <= m.knownHead.ObjectVersion {
		return
	}
	changed := m.knownHead.Pending == nil || head.Pending == nil || m.knownHead.Pending.Note != head.Pending.Note
	if head.Version > m.Version() && m.missedWhileAway(now, head) {
		m.missedReleases = true
	}
	m.knownHead = head
	m.headChangedAt = now
	if changed {
		m.notes.pruneRefused(head)
		m.staging.reset()
		m.coordinator.reset(now)
	}
	m.advance(now)
	m.stagePending(now)
	m.pushDigest(now)
}

// missedWhileAway reports whether a newer release was accepted without this
// host: its domain is named in Without, or the host is within its rejoin
// window.
func (m *Machine) missedWhileAway(now time.Time, head HeadDigest) bool {
	if m.current == nil {
		return false
	}
	if slices.Contains(head.Without, m.settings.Self.Domain) {
		return true
	}
	return now.Before(m.rejoiningUntil)
}

// recordContact records when the platform last answered this host or another
// one. The end of a disconnection starts the rejoin window.
func (m *Machine) recordContact(now, at time.Time) {
	if !at.After(m.platform.lastContact) {
		return
	}
	if m.disconnected(now) {
		m.rejoiningUntil = now.Add(RejoinWindow)
	}
	m.platform.lastContact = at
}

// awaitDigests holds back new flows until peers have had time to send digests
// of the releases that this host may have missed.
func (m *Machine) awaitDigests(now time.Time) {
	m.awaitDigestsUntil = now.Add(RejoinWindow)
	m.rejoiningUntil = m.awaitDigestsUntil
}

// detectPause detects that this process has just started or did not run for
// longer than PauseThreshold, and may therefore have missed releases.
func (m *Machine) detectPause(now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt = now
		m.awaitDigests(now)
	}
	if !m.lastActive.IsZero() && now.Sub(m.lastActive) > PauseThreshold {
		m.awaitDigests(now)
		m.log("release_pause_noticed", now.Sub(m.lastActive).String())
	}
	m.lastActive = now
}

// digest returns this host's digest.
func (m *Machine) digest(now time.Time) Digest {
	age := now.Sub(m.platform.lastContact)
	if m.platform.lastContact.IsZero() {
		age = -1
	}
	return Digest{Head: m.knownHead, Running: m.Version(), HoldsPending: m.holdsPending(), PlatformAge: age}
}

// holdsPending reports whether this host holds the pending note's content.
func (m *Machine) holdsPending() bool {
	return m.knownHead.Pending != nil && m.notes.find(m.knownHead.Pending.Note.ID) != nil
}

// pushDigest sends the digest to a few peers as soon as something changed: to
// random ones of this domain and, from a watcher, to one watcher of each other
// domain.
func (m *Machine) pushDigest(now time.Time) {
	digest := m.digest(now)
	for _, peer := range sample(m.rng, m.members.peers(true), PushFanout) {
		m.send(peer, digest)
	}
	if !m.isWatcher(now) {
		return
	}
	for _, id := range m.members.servingDomains() {
		if id == m.settings.Self.Domain {
			continue
		}
		for _, peer := range sample(m.rng, m.members.watchers(id, ""), 1) {
			m.send(peer, digest)
		}
	}
}

// gossipDigest periodically sends the digest to a random peer of this domain
// and, from a watcher or a host without a release, to a random host of another
// domain.
func (m *Machine) gossipDigest(now time.Time) {
	if now.Before(m.digests.next) {
		return
	}
	m.digests.next = now.Add(DigestInterval)
	digest := m.digest(now)
	targets := sample(m.rng, m.members.peers(true), 1)
	if m.isWatcher(now) || m.current == nil {
		targets = append(targets, sample(m.rng, m.members.peers(false), 1)...)
	}
	for _, peer := range targets {
		m.send(peer, digest)
	}
}

// receiveDigest adopts what is newer in a digest and answers a sender whose
// head is older with this host's digest.
func (m *Machine) receiveDigest(now time.Time, from state.Host, digest Digest) {
	m.status.recordVersion(from.ID, digest.Running)
	if digest.PlatformAge >= 0 {
		m.recordContact(now, now.Add(-digest.PlatformAge))
	}
	if m.settings.Variant == VariantVersionDecreases && digest.Running != m.Version() {
		m.requestRelease(now, from, true)
	}
	if digest.Running > m.Version() {
		m.fetch.source = from
	}
	if digest.HoldsPending {
		m.fetch.noteHolder = from
	}
	m.adoptHead(now, digest.Head)
	if digest.Head.ObjectVersion < m.knownHead.ObjectVersion {
		m.send(from, m.digest(now))
	}
	m.advance(now)
	m.stagePending(now)
}

// advance installs the newest accepted release if this host has staged it, and
// fetches it otherwise.
func (m *Machine) advance(now time.Time) {
	if m.Version() >= m.knownHead.Version {
		m.missedReleases = false
		return
	}
	if staged := m.staging.release; staged != nil &&
		staged.Version == m.knownHead.Version && staged.Note == m.knownHead.Accepted {
		m.install(now, staged)
		return
	}
	m.fetchRelease(now)
}

// install puts a release in force on this host. The version never decreases.
func (m *Machine) install(now time.Time, next *state.Release) {
	if next.Version <= m.Version() && m.settings.Variant != VariantVersionDecreases {
		return
	}
	m.current = next
	m.notes.markAccepted(next.Note)
	m.fetch.startedAt = time.Time{}
	m.log("release_in_force", fmt.Sprintf("version %d, note %s", next.Version, next.Note))
	if next.Version >= m.knownHead.Version {
		m.missedReleases = false
	}
	m.status.recordVersion(m.settings.Self.ID, next.Version)
	for _, watcher := range m.members.watchers(m.settings.Self.Domain, "") {
		m.send(watcher, message.Message(InForceReport{Version: next.Version}))
	}
	m.reportStatus(now)
}

// CatchingUp reports whether this host must not admit new flows, because it has
// just started or resumed, or because it was away and knows of a newer release
// that it does not hold yet. A host that is disconnected again serves with the
// release it has.
func (m *Machine) CatchingUp(now time.Time) bool {
	if now.Before(m.awaitDigestsUntil) {
		return true
	}
	return m.missedReleases && !m.disconnected(now)
}

// Awaited describes what this host waits for before it is ready; empty for
// nothing.
func (m *Machine) Awaited(now time.Time) string {
	switch {
	case m.current != nil && m.CatchingUp(now) && !m.missedReleases:
		return "digests from peers after a start or a pause of this process"
	case m.current != nil && m.CatchingUp(now):
		return fmt.Sprintf("release %d, accepted while this host was away; holds %d", m.knownHead.Version, m.Version())
	case m.current != nil:
		return ""
	case m.knownHead.Version > 0:
		return fmt.Sprintf("the content of release %d from a peer or the platform", m.knownHead.Version)
	case m.platform.lastContact.IsZero():
		return "the current release: no peer has one and the platform does not answer"
	}
	return "the first release: none is accepted yet"
}
