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

// status holds the release versions known to be in force on hosts and the
// status objects that are still to be written.
type status struct {
	// versions holds the release in force on each host; 0 for a host without
	// one.
	versions map[state.HostID]state.ReleaseVersion
	// reported is the last status of this domain that was queued for writing.
	reported objects.InForce
	// behindSince is when behind, the list of hosts with an older release, last
	// changed.
	behindSince time.Time
	behind      []state.HostID
	// writes holds the unfinished status writes by key.
	writes map[string]*statusWrite
	// recentlyDead holds the hosts of this domain that left the view. Entries
	// older than DeadHostRetention do not count.
	recentlyDead map[state.HostID]deadHost
	// storedVersions holds the newest known object version of each domain's
	// InForce object, by key.
	storedVersions map[string]uint64
}

// deadHost is a host of this domain that left the view, and the release that was
// in force on it.
type deadHost struct {
	diedAt  time.Time
	version state.ReleaseVersion
}

// statusWrite is a status object that is to be written to the platform.
type statusWrite struct {
	staged  *objects.Staged
	inForce *objects.InForce
	// forwarded reports whether the write was already sent to other domains, or
	// came from one.
	forwarded bool
	createdAt time.Time
}

func newStatus() status {
	return status{
		versions:       make(map[state.HostID]state.ReleaseVersion),
		writes:         make(map[string]*statusWrite),
		recentlyDead:   make(map[state.HostID]deadHost),
		storedVersions: make(map[string]uint64),
	}
}

// recordVersion records which release is in force on a host.
func (s *status) recordVersion(host state.HostID, version state.ReleaseVersion) {
	s.versions[host] = version
}

// trackDead records the hosts that left the view and restores the versions of
// those that are back.
func (s *status) trackDead(now time.Time, before, after []state.Host) {
	for _, host := range before {
		s.recentlyDead[host.ID] = deadHost{diedAt: now, version: s.versions[host.ID]}
	}
	for _, host := range after {
		dead, wasDead := s.recentlyDead[host.ID]
		if _, known := s.versions[host.ID]; wasDead && !known {
			s.versions[host.ID] = dead.version
		}
		delete(s.recentlyDead, host.ID)
	}
	maps.DeleteFunc(s.recentlyDead, func(_ state.HostID, host deadHost) bool { return now.Sub(host.diedAt) > DeadHostRetention })
}

// pruneVersions removes the versions of hosts that are no longer members.
func (s *status) pruneVersions(view state.MembershipView) {
	present := make(map[state.HostID]bool, len(view.Members))
	for _, member := range view.Members {
		present[member.ID] = true
	}
	maps.DeleteFunc(s.versions, func(id state.HostID, _ state.ReleaseVersion) bool { return !present[id] })
}

// reporterRank returns this host's rank among the watchers of its domain. ok
// reports whether it is a watcher and has run for ReporterStartDelay; before
// that it does not know its peers well enough to report for the domain.
func (m *Machine) reporterRank(now time.Time) (rank int, ok bool) {
	watchers := m.members.watchers(m.settings.Self.Domain, "")
	rank = hostIndex(watchers, m.settings.Self.ID)
	ready := !m.startedAt.IsZero() && now.Sub(m.startedAt) >= ReporterStartDelay
	return rank, rank >= 0 && ready
}

func (w *statusWrite) value() json.RawMessage {
	if w.staged != nil {
		return encode(w.staged)
	}
	return encode(w.inForce)
}

// writeStaged queues the write of a domain's status object for the pending
// note.
func (m *Machine) writeStaged(now time.Time, staged objects.Staged) {
	m.status.writes[stagedKey(staged.Note.ID, staged.Domain)] = &statusWrite{staged: &staged, createdAt: now}
	m.flushWrites(now)
}

// flushWrites calls the platform for every queued write that is still valid.
// While platform calls fail it also forwards the writes to hosts of other
// domains.
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

// expired reports whether a staging status is no longer worth writing: its note
// has been decided, or the write is older than StagedWriteTimeout.
func (m *Machine) expired(now time.Time, entry *statusWrite) bool {
	if entry.staged == nil {
		return false
	}
	return entry.staged.Note.Version <= m.knownHead.Version || now.Sub(entry.createdAt) > StagedWriteTimeout
}

// ahead reports whether a status of this domain claims a newer release than now
// holds, because a host with an older release has joined. Such a write waits
// until it holds again.
func (m *Machine) ahead(now time.Time, entry *statusWrite) bool {
	if entry.inForce == nil || entry.inForce.Domain != m.settings.Self.Domain {
		return false
	}
	return m.domainStatus(now).Version < entry.inForce.Version
}

// handleStatusOutcome removes a finished status write. After a conflict it
// retries the write on the stored version, if the write still adds something.
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

// supersedes reports whether next has a newer release than the stored status,
// or differs from it for the same release.
func supersedes(next, stored objects.InForce) bool {
	if next.Version != stored.Version {
		return next.Version > stored.Version
	}
	return next.Hosts != stored.Hosts || !slices.Equal(next.Behind, stored.Behind)
}

// handleCallFailure resets the state that waits for the outcome of a failed
// call, so that the call is retried. It forwards a failed status write to
// hosts of other domains, which may still reach the platform.
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

// forwardWrite sends a status write to one watcher of each other domain, once
// until allowForwarding.
func (m *Machine) forwardWrite(entry *statusWrite) {
	if entry.forwarded {
		return
	}
	entry.forwarded = true
	request := StatusWriteRequest{Staged: entry.staged, InForce: entry.inForce}
	for _, peer := range m.otherDomainWatchers() {
		m.send(peer, request)
	}
}

// otherDomainWatchers returns one random watcher of each other domain.
func (m *Machine) otherDomainWatchers() []state.Host {
	var hosts []state.Host
	for _, id := range m.members.servingDomains() {
		if id != m.settings.Self.Domain {
			hosts = append(hosts, sample(m.rng, m.members.watchers(id, ""), 1)...)
		}
	}
	return hosts
}

// receiveWriteRequest queues a status write of another domain.
func (m *Machine) receiveWriteRequest(now time.Time, request StatusWriteRequest) {
	switch {
	case request.Staged != nil:
		staged := *request.Staged
		m.status.writes[stagedKey(staged.Note.ID, staged.Domain)] = &statusWrite{staged: &staged, forwarded: true, createdAt: now}
	case request.InForce != nil:
		inForce := *request.InForce
		m.status.writes[objects.PrefixInForce+string(inForce.Domain)] = &statusWrite{inForce: &inForce, forwarded: true}
	}
	m.flushWrites(now)
}

// reportStatus retries unfinished status writes. On the first watcher of the
// domain it also writes the domain's InForce object when that has changed.
func (m *Machine) reportStatus(now time.Time) {
	m.allowForwarding(now)
	m.flushWrites(now)
	rank, ok := m.reporterRank(now)
	if m.current == nil || !ok || rank > 0 {
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

// allowForwarding lets unfinished writes be forwarded again once the backoff
// has passed, unless this host is disconnected.
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

// domainStatus aggregates what is in force on this domain's hosts, leaving and
// recently dead ones included. Hosts without a release admit no traffic and
// only count as behind. A host of unknown version holds the status at the
// version last reported.
func (m *Machine) domainStatus(now time.Time) objects.InForce {
	hosts := m.members.ownDomainMembers()
	lowest := m.Version()
	for _, host := range hosts {
		version, known := m.status.versions[host.ID]
		if !known {
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

// behindChanged reports whether the hosts that are behind differ from those
// last reported and have been the same for BehindReportDelay.
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
