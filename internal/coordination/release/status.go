package release

import (
	"maps"
	"slices"
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
