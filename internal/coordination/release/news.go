package release

import (
	"fmt"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
)

// spread paces the digests to peers.
type spread struct {
	next time.Time
}

// learn takes in a head digest, newer ones only, and passes it on.
func (m *Machine) learn(now time.Time, digest HeadDigest) {
	if digest.ObjectVersion <= m.known.ObjectVersion {
		return
	}
	changed := m.known.Pending == nil || digest.Pending == nil || m.known.Pending.Note != digest.Pending.Note
	if digest.Version > m.Version() && m.behindAfterReturn(now, digest) {
		m.returned = true
	}
	m.known = digest
	m.learned = now
	if changed {
		m.notes.pruneRefused(digest)
		m.staging.reset()
		m.coordinator.reset(now)
	}
	m.advance(now)
	m.stage(now)
	m.push(now)
}

// behindAfterReturn tells that newer releases were made without this host: it
// was away for long, or its domain was left out by name.
func (m *Machine) behindAfterReturn(now time.Time, digest HeadDigest) bool {
	if m.current == nil {
		return false
	}
	if slices.Contains(digest.Without, m.settings.Self.Domain) {
		return true
	}
	return now.Before(m.returningUntil)
}

// heard notes that the platform was heard at a time, by this host or another.
func (m *Machine) heard(now, at time.Time) {
	if !at.After(m.platform.heardAt) {
		return
	}
	if m.cutOff(now) {
		m.returningUntil = now.Add(RejoinWindow)
	}
	m.platform.heardAt = at
}

// awaitNews holds new flows back until peers have had time to tell of releases.
func (m *Machine) awaitNews(now time.Time) {
	m.newsUntil = now.Add(RejoinWindow)
	m.returningUntil = m.newsUntil
}

// noticeAbsence finds out that this process has just started or stood still for
// a while, and may have missed releases.
func (m *Machine) noticeAbsence(now time.Time) {
	if m.started.IsZero() {
		m.started = now
		m.awaitNews(now)
	}
	if !m.ticked.IsZero() && now.Sub(m.ticked) > PauseThreshold {
		m.awaitNews(now)
		m.log("release_pause_noticed", now.Sub(m.ticked).String())
	}
	m.ticked = now
}

// news returns this host's digest.
func (m *Machine) news(now time.Time) Digest {
	age := now.Sub(m.platform.heardAt)
	if m.platform.heardAt.IsZero() {
		age = -1
	}
	return Digest{Head: m.known, Running: m.Version(), HoldsPending: m.holdsPending(), PlatformAge: age}
}

// holdsPending tells that this host holds the pending note's content.
func (m *Machine) holdsPending() bool {
	return m.known.Pending != nil && m.notes.find(m.known.Pending.Note.ID) != nil
}

// push tells a few peers of a change at once: random ones of this domain and,
// from a watcher, one watcher of each other domain.
func (m *Machine) push(now time.Time) {
	news := m.news(now)
	for _, peer := range sample(m.rng, m.members.peers(true), PushFanout) {
		m.send(peer, news)
	}
	if !m.isWatcher(now) {
		return
	}
	for _, id := range m.members.domains() {
		if id == m.settings.Self.Domain {
			continue
		}
		for _, peer := range sample(m.rng, m.members.watchers(id, ""), 1) {
			m.send(peer, news)
		}
	}
}

// gossip sends the digest to a random peer of this domain and, from a watcher,
// to a random host of another domain.
func (m *Machine) gossip(now time.Time) {
	if now.Before(m.spread.next) {
		return
	}
	m.spread.next = now.Add(DigestInterval)
	news := m.news(now)
	targets := sample(m.rng, m.members.peers(true), 1)
	if m.isWatcher(now) || m.current == nil {
		targets = append(targets, sample(m.rng, m.members.peers(false), 1)...)
	}
	for _, peer := range targets {
		m.send(peer, news)
	}
}

// receiveNews learns from a digest and answers a sender that knows less.
func (m *Machine) receiveNews(now time.Time, from state.Host, news Digest) {
	m.status.heard(from.ID, news.Running)
	if news.PlatformAge >= 0 {
		m.heard(now, now.Add(-news.PlatformAge))
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
	m.learn(now, news.Head)
	if news.Head.ObjectVersion < m.known.ObjectVersion {
		m.send(from, m.news(now))
	}
	m.advance(now)
	m.stage(now)
}

// advance adopts the newest accepted release, or asks for what it lacks.
func (m *Machine) advance(now time.Time) {
	if m.Version() >= m.known.Version {
		m.returned = false
		return
	}
	if staged := m.staging.release; staged != nil &&
		staged.Version == m.known.Version && staged.Note == m.known.Accepted {
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
	if next.Version >= m.known.Version {
		m.returned = false
	}
	m.status.heard(m.settings.Self.ID, next.Version)
	for _, watcher := range m.members.watchers(m.settings.Self.Domain, "") {
		m.send(watcher, message.Message(InForceReport{Version: next.Version}))
	}
	m.reportStatus(now)
}

// CatchingUp tells that this host was away for long and knows of a newer release
// that it does not hold yet, or has just started or resumed: it must not admit
// new flows. A host that is cut off again serves what it can.
func (m *Machine) CatchingUp(now time.Time) bool {
	if now.Before(m.newsUntil) {
		return true
	}
	return m.returned && !m.cutOff(now)
}

// Awaited says what this host waits for before it is ready; empty for nothing.
func (m *Machine) Awaited(now time.Time) string {
	switch {
	case m.current != nil && m.CatchingUp(now) && !m.returned:
		return "news of releases after a start or a pause of this process"
	case m.current != nil && m.CatchingUp(now):
		return fmt.Sprintf("release %d after a cut-off; holds %d", m.known.Version, m.Version())
	case m.current != nil:
		return ""
	case m.known.Version > 0:
		return fmt.Sprintf("the content of release %d from a peer or the platform", m.known.Version)
	case m.platform.heardAt.IsZero():
		return "the current release: no peer has one and the platform does not answer"
	}
	return "the first release: none is accepted yet"
}
