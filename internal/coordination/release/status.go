package release

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// status is what is in force on the hosts heard of, and the status objects
// still to be written.
type status struct {
	versions map[state.HostID]state.ReleaseVersion
	reported objects.InForce
	// behindSince is when the hosts that lag last changed.
	behindSince time.Time
	behind      []state.HostID
	writes      map[string]*statusWrite
	// recentlyDead holds the hosts of this domain that have just left the view.
	recentlyDead map[state.HostID]deadHost
	// storedVersions holds the newest known version of each domain's status object.
	storedVersions map[string]uint64
}

// deadHost is a host that is taken for dead, and what was in force on it.
type deadHost struct {
	diedAt   time.Time
	version state.ReleaseVersion
}

// statusWrite is a status object on its way to the platform.
type statusWrite struct {
	staged  *objects.Staged
	inForce *objects.InForce
	forwarded bool
	createdAt   time.Time
}

func newStatus() status {
	return status{
		versions: make(map[state.HostID]state.ReleaseVersion),
		writes:   make(map[string]*statusWrite),
		recentlyDead:     make(map[state.HostID]deadHost),
		storedVersions:   make(map[string]uint64),
	}
}

// recordVersion notes what is in force on a host.
func (s *status) recordVersion(host state.HostID, version state.ReleaseVersion) {
	s.versions[host] = version
}

// trackDead remembers the hosts that left the view, until they are back.
func (s *status) trackDead(now time.Time, before, after []state.Host) {
	for _, host := range before {
		s.recentlyDead[host.ID] = deadHost{diedAt: now, version: s.versions[host.ID]}
	}
	for _, host := range after {
		back, wasGone := s.recentlyDead[host.ID]
		if _, heard := s.versions[host.ID]; wasGone && !heard {
			s.versions[host.ID] = back.version
		}
		delete(s.recentlyDead, host.ID)
	}
	maps.DeleteFunc(s.recentlyDead, func(_ state.HostID, host deadHost) bool { return now.Sub(host.diedAt) > DeadHostRetention })
}

// pruneVersions drops the hosts that are no longer members.
func (s *status) pruneVersions(view state.MembershipView) {
	present := make(map[state.HostID]bool, len(view.Members))
	for _, member := range view.Members {
		present[member.ID] = true
	}
	maps.DeleteFunc(s.versions, func(id state.HostID, _ state.ReleaseVersion) bool { return !present[id] })
}

// reporterRank tells that this host has run long enough to know its peers
// and may add up what they say, as the watcher in the given place or before.
func (m *Machine) reporterRank(now time.Time) (place int, ok bool) {
	watchers := m.members.watchers(m.settings.Self.Domain, "")
	place = hostIndex(watchers, m.settings.Self.ID)
	settled := !m.startedAt.IsZero() && now.Sub(m.startedAt) >= ReporterStartDelay
	return place, place >= 0 && settled
}

func (w *statusWrite) value() json.RawMessage {
	if w.staged != nil {
		return encode(w.staged)
	}
	return encode(w.inForce)
}

// writeStaged writes a domain's answer about the pending note.
func (m *Machine) writeStaged(now time.Time, staged objects.Staged) {
	m.status.writes[stagedKey(staged.Note.ID, staged.Domain)] = &statusWrite{staged: &staged, createdAt: now}
	m.flushWrites(now)
}

// flushWrites sends the status objects that are not on their way.
func (m *Machine) flushWrites(now time.Time) {
	for _, key := range slices.Sorted(maps.Keys(m.status.writes)) {
		entry := m.status.writes[key]
		if m.expired(now, entry) {
			delete(m.status.writes, key)
			continue
		}
		if m.ahead(now, entry) {
			continue
		}
		if m.platform.failures > 0 {
			m.forwardWrite(entry)
		}
		m.call(now, objects.Call{
			Verb: objects.VerbPut, Key: key, Version: m.status.storedVersions[key], Value: entry.value(),
		})
	}
}

// expired tells that a write is about a note that was decided since, or about
// one that has not been pending for long.
func (m *Machine) expired(now time.Time, entry *statusWrite) bool {
	if entry.staged == nil {
		return false
	}
	return entry.staged.Note.Version <= m.knownHead.Version || now.Sub(entry.createdAt) > StagedWriteTimeout
}

// ahead tells that a status of this domain no longer holds, because a host
// with an older release has come since; it waits until it holds again.
func (m *Machine) ahead(now time.Time, entry *statusWrite) bool {
	if entry.inForce == nil || entry.inForce.Domain != m.settings.Self.Domain {
		return false
	}
	return m.domainStatus(now).Version < entry.inForce.Version
}

// handleStatusOutcome finishes a status write or repeats it on the present version.
func (m *Machine) handleStatusOutcome(now time.Time, call objects.Call, outcome objects.Outcome) {
	entry := m.status.writes[call.Key]
	if entry == nil {
		return
	}
	if entry.inForce != nil {
		m.status.storedVersions[call.Key] = outcome.Object.Version
	}
	if outcome.Result != objects.ResultConflict || entry.staged != nil {
		delete(m.status.writes, call.Key)
		return
	}
	var stored objects.InForce
	err := json.Unmarshal(outcome.Object.Value, &stored)
	if err == nil && !supersedes(*entry.inForce, stored) {
		delete(m.status.writes, call.Key)
		return
	}
	m.flushWrites(now)
}

// supersedes tells that a status says more than the stored one.
func supersedes(next, stored objects.InForce) bool {
	if next.Version != stored.Version {
		return next.Version > stored.Version
	}
	return next.Hosts != stored.Hosts || !slices.Equal(next.Behind, stored.Behind)
}

// handleCallFailure hands a status write to a host of another domain, which may still
// reach the platform.
func (m *Machine) handleCallFailure(now time.Time, call objects.Call) {
	if call.Key == objects.KeyHead && call.Verb == objects.VerbPut {
		m.coordinator.headWriteDone()
	}
	if strings.HasPrefix(call.Key, objects.PrefixStaged) && call.Verb != objects.VerbPut {
		m.coordinator.listed = false
	}
	entry := m.status.writes[call.Key]
	if entry != nil && call.Verb == objects.VerbPut {
		m.forwardWrite(entry)
	}
}

// forwardWrite hands a status write over once.
func (m *Machine) forwardWrite(entry *statusWrite) {
	if entry.forwarded {
		return
	}
	entry.forwarded = true
	relay := StatusWriteRequest{Staged: entry.staged, InForce: entry.inForce}
	for _, peer := range m.otherDomainWatchers() {
		m.send(peer, relay)
	}
}

// otherDomainWatchers returns one watcher of each other domain.
func (m *Machine) otherDomainWatchers() []state.Host {
	var hosts []state.Host
	for _, id := range m.members.servingDomains() {
		if id != m.settings.Self.Domain {
			hosts = append(hosts, sample(m.rng, m.members.watchers(id, ""), 1)...)
		}
	}
	return hosts
}

// receiveWriteRequest writes a status object for another domain.
func (m *Machine) receiveWriteRequest(now time.Time, relay StatusWriteRequest) {
	switch {
	case relay.Staged != nil:
		staged := *relay.Staged
		m.status.writes[stagedKey(staged.Note.ID, staged.Domain)] = &statusWrite{staged: &staged, forwarded: true, createdAt: now}
	case relay.InForce != nil:
		inForce := *relay.InForce
		m.status.writes[objects.PrefixInForce+string(inForce.Domain)] = &statusWrite{inForce: &inForce, forwarded: true}
	}
	m.flushWrites(now)
}

// reportStatus writes what is in force in this domain when that has changed.
// Only the first watcher of the domain writes.
func (m *Machine) reportStatus(now time.Time) {
	m.allowForwarding(now)
	m.flushWrites(now)
	place, ok := m.reporterRank(now)
	if m.current == nil || !ok || place > 0 {
		return
	}
	next := m.domainStatus(now)
	if next.Version <= m.status.reported.Version && !m.behindChanged(now, next) {
		return
	}
	m.status.reported = next
	m.status.writes[objects.PrefixInForce+string(next.Domain)] = &statusWrite{inForce: &next}
	m.flushWrites(now)
}

// allowForwarding lets stuck writes be handed over again after the back-off.
func (m *Machine) allowForwarding(now time.Time) {
	if now.Before(m.platform.retryAt) {
		return
	}
	for _, entry := range m.status.writes {
		if entry.forwarded && !m.disconnected(now) {
			entry.forwarded = false
		}
	}
}

// domainStatus adds up what is in force on this domain's hosts, leaving ones
// included. Hosts that hold no release yet take no traffic and only count as
// behind; with a host of which nothing is known the status stays as it was.
func (m *Machine) domainStatus(now time.Time) objects.InForce {
	hosts := m.members.ownDomainMembers()
	lowest := m.Version()
	for _, host := range hosts {
		version, heard := m.status.versions[host.ID]
		if !heard {
			lowest = min(lowest, m.status.reported.Version)
		}
		if version > 0 {
			lowest = min(lowest, version)
		}
	}
	for _, host := range m.status.recentlyDead {
		if host.version > 0 && now.Sub(host.diedAt) <= DeadHostRetention {
			lowest = min(lowest, host.version)
		}
	}
	next := objects.InForce{Domain: m.settings.Self.Domain, Version: lowest, Since: now}
	for _, host := range hosts {
		if m.status.versions[host.ID] >= m.Version() {
			next.Hosts++
			continue
		}
		next.Behind = append(next.Behind, host.ID)
	}
	return next
}

// behindChanged tells that the hosts that lag differ from those reported, and
// have been the same for BehindAfter.
func (m *Machine) behindChanged(now time.Time, next objects.InForce) bool {
	if !slices.Equal(next.Behind, m.status.behind) {
		m.status.behind = next.Behind
		m.status.behindSince = now
	}
	if next.Version < m.status.reported.Version || slices.Equal(next.Behind, m.status.reported.Behind) {
		return false
	}
	return now.Sub(m.status.behindSince) >= BehindReportDelay
}
