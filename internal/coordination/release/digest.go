package release

import (
	"fmt"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
)

// digestSchedule paces the digests to peers.
type digestSchedule struct {
	next time.Time
}

// adoptHead takes in a head digest, newer ones only, and passes it on.
func (m *Machine) adoptHead(now time.Time, digest HeadDigest) {
	if digest.ObjectVersion <= m.knownHead.ObjectVersion {
		return
	}
	changed := m.knownHead.Pending == nil || digest.Pending == nil || m.knownHead.Pending.Note != digest.Pending.Note
	if digest.Version > m.Version() && m.missedWhileAway(now, digest) {
		m.missedReleases = true
	}
	m.knownHead = digest
	m.headChangedAt = now
	if changed {
		m.notes.pruneRefused(digest)
		m.staging.reset()
		m.coordinator.reset(now)
	}
	m.advance(now)
	m.stagePending(now)
	m.pushDigest(now)
}

// missedWhileAway tells that newer releases were made without this host: it
// was away for long, or its domain was left out by name.
func (m *Machine) missedWhileAway(now time.Time, digest HeadDigest) bool {
	if m.current == nil {
		return false
	}
	if slices.Contains(digest.Without, m.settings.Self.Domain) {
		return true
	}
	return now.Before(m.rejoiningUntil)
}

// recordContact notes that the platform was recordContact at a time, by this host or another.
func (m *Machine) recordContact(now, at time.Time) {
	if !at.After(m.platform.lastContact) {
		return
	}
	if m.disconnected(now) {
		m.rejoiningUntil = now.Add(RejoinWindow)
	}
	m.platform.lastContact = at
}

// awaitDigests holds new flows back until peers have had time to tell of releases.
func (m *Machine) awaitDigests(now time.Time) {
	m.awaitDigestsUntil = now.Add(RejoinWindow)
	m.rejoiningUntil = m.awaitDigestsUntil
}

// detectPause finds out that this process has just started or stood still for
// a while, and may have missed releases.
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

// holdsPending tells that this host holds the pending note's content.
func (m *Machine) holdsPending() bool {
	return m.knownHead.Pending != nil && m.notes.find(m.knownHead.Pending.Note.ID) != nil
}

// pushDigest tells a few peers of a change at once: random ones of this domain and,
// from a watcher, one watcher of each other domain.
func (m *Machine) pushDigest(now time.Time) {
	news := m.digest(now)
	for _, peer := range sample(m.rng, m.members.peers(true), PushFanout) {
		m.send(peer, news)
	}
	if !m.isWatcher(now) {
		return
	}
	for _, id := range m.members.servingDomains() {
		if id == m.settings.Self.Domain {
			continue
		}
		for _, peer := range sample(m.rng, m.members.watchers(id, ""), 1) {
			m.send(peer, news)
		}
	}
}

// gossipDigest sends the digest to a random peer of this domain and, from a watcher,
// to a random host of another domain.
func (m *Machine) gossipDigest(now time.Time) {
	if now.Before(m.digests.next) {
		return
	}
	m.digests.next = now.Add(DigestInterval)
	news := m.digest(now)
	targets := sample(m.rng, m.members.peers(true), 1)
	if m.isWatcher(now) || m.current == nil {
		targets = append(targets, sample(m.rng, m.members.peers(false), 1)...)
	}
	for _, peer := range targets {
		m.send(peer, news)
	}
}

// receiveDigest learns from a digest and answers a sender that knows less.
func (m *Machine) receiveDigest(now time.Time, from state.Host, news Digest) {
	m.status.recordVersion(from.ID, news.Running)
	if news.PlatformAge >= 0 {
		m.recordContact(now, now.Add(-news.PlatformAge))
	}
	if m.settings.Variant == VariantVersionDecreases && news.Running != m.Version() {
		m.requestRelease(now, from, true)
	}
	if news.Running > m.Version() {
		m.fetch.source = from
	}
	if news.HoldsPending {
		m.fetch.noteHolder = from
	}
	m.adoptHead(now, news.Head)
	if news.Head.ObjectVersion < m.knownHead.ObjectVersion {
		m.send(from, m.digest(now))
	}
	m.advance(now)
	m.stagePending(now)
}

// advance adopts the newest accepted release, or asks for what it lacks.
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

// install puts a release in force on this host. The version never falls.
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

// CatchingUp tells that this host was away for long and knows of a newer release
// that it does not hold yet, or has just started or resumed: it must not admit
// new flows. A host that is cut off again serves what it can.
func (m *Machine) CatchingUp(now time.Time) bool {
	if now.Before(m.awaitDigestsUntil) {
		return true
	}
	return m.missedReleases && !m.disconnected(now)
}

// Awaited says what this host waits for before it is ready; empty for nothing.
func (m *Machine) Awaited(now time.Time) string {
	switch {
	case m.current != nil && m.CatchingUp(now) && !m.missedReleases:
		return "news of releases after a start or a pause of this process"
	case m.current != nil && m.CatchingUp(now):
		return fmt.Sprintf("release %d after a cut-off; holds %d", m.knownHead.Version, m.Version())
	case m.current != nil:
		return ""
	case m.knownHead.Version > 0:
		return fmt.Sprintf("the content of release %d from a peer or the platform", m.knownHead.Version)
	case m.platform.lastContact.IsZero():
		return "the current release: no peer has one and the platform does not answer"
	}
	return "the first release: none is accepted yet"
}
