package control

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/membership"
	"github.com/guavawharf/guavawharf/internal/state"
)

// MemberVersion is a member of the view with the release version in force on it.
type MemberVersion struct {
	state.Member
	Version state.ReleaseVersion
}

// Members returns all entry hosts in this host's view, sorted by id.
func (m *Machine) Members() []MemberVersion {
	versions := make(map[state.HostID]state.ReleaseVersion)
	for _, entry := range m.membership.ReleaseVersions() {
		versions[entry.Host] = entry.Version
	}
	view := m.membership.View()
	members := make([]MemberVersion, 0, len(view.Members))
	for _, member := range view.Members {
		members = append(members, MemberVersion{Member: member, Version: versions[member.ID]})
	}
	return members
}

// Release returns the release in force on this host, nil for none.
func (m *Machine) Release() *state.Release { return m.release.Current() }

// Ready reports whether this host admits new flows.
func (m *Machine) Ready(now time.Time) bool { return m.ready(now) }

// Awaited describes what a host that is not ready is waiting for; empty if nothing.
func (m *Machine) Awaited(now time.Time) string { return m.release.Awaited(now) }

// DomainDigests returns the newest digest of every failure domain, starting with
// that of this host.
func (m *Machine) DomainDigests() []membership.Digest { return m.membership.Digests() }
