package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

const seedCount = 5

// forEachSeed runs a scenario for each seed on the largest deployed layout: seven hosts in
// four domains that have joined.
func forEachSeed(t *testing.T, scenario func(t *testing.T, l *link)) {
	for seed := range uint64(seedCount) {
		t.Logf("seed %d", seed)
		l := newLink(t, seed)
		l.domains(2, 2, 2, 1)
		_, ok := l.runUntil(10*time.Second, l.allJoined)
		require.True(t, ok)
		l.run(5 * time.Second)
		scenario(t, l)
	}
}

func TestHostsJoin(t *testing.T) {
	forEachSeed(t, func(t *testing.T, l *link) {
		require.True(t, l.allAlive())
		require.Len(t, l.node("host-4-000").machine.View().Members, 7)
	})
}

// TestViewUnchangedWithoutMembershipChange checks that gossip without changes neither
// raises the epoch nor allocates a new members slice.
func TestViewUnchangedWithoutMembershipChange(t *testing.T) {
	forEachSeed(t, func(t *testing.T, l *link) {
		m := l.node("host-1-000").machine
		before := m.View()
		l.run(10 * time.Second)
		require.Equal(t, before.Epoch, m.View().Epoch)
		require.Same(t, &before.Members[0], &m.View().Members[0])
	})
}

// TestKilledHostIsRemovedFromEveryView also checks that a killed host does not return
// after the tombstones have expired.
func TestKilledHostIsRemovedFromEveryView(t *testing.T) {
	for _, victim := range []state.HostID{"host-1-000", "host-4-000"} {
		forEachSeed(t, func(t *testing.T, l *link) {
			l.node(victim).killed = true
			took, ok := l.runUntil(20*time.Second, func() bool { return l.allSee(victim, state.HostDead) })
			require.True(t, ok)
			t.Logf("%s gone from every view after %v", victim, took)
			l.run(2 * TombstoneRetention)
			require.True(t, l.allSee(victim, state.HostDead))
		})
	}
}

// TestPausedHostReturnsWithHigherIncarnation checks that a host that was marked dead
// during a pause refutes this and returns with the same run: its process still has its
// flow records.
func TestPausedHostReturnsWithHigherIncarnation(t *testing.T) {
	for _, victim := range []state.HostID{"host-1-000", "host-4-000"} {
		forEachSeed(t, func(t *testing.T, l *link) {
			n := l.node(victim)
			before := n.machine.incarnation
			n.paused = true
			_, ok := l.runUntil(20*time.Second, func() bool { return l.allSee(victim, state.HostDead) })
			require.True(t, ok)
			l.resume(n)
			took, ok := l.runUntil(10*time.Second, l.allAlive)
			require.True(t, ok)
			t.Logf("%s back in every view after %v", victim, took)
			require.Greater(t, n.machine.incarnation, before)
			for _, other := range l.nodes {
				require.Equal(t, firstRun, other.runInView(victim), "a pause must not count as a restart")
			}
		})
	}
}

// TestLocalPauseCausesNoFalseDeaths checks that a host that was paused for a minute while
// it suspected another one does not count the pause towards the suspicion's timeout.
func TestLocalPauseCausesNoFalseDeaths(t *testing.T) {
	forEachSeed(t, func(t *testing.T, l *link) {
		n, suspect := l.node("host-1-000"), testHost(1, 1)
		l.blocked = func(from, to state.Host) bool { return to == suspect }
		_, ok := l.runUntil(5*time.Second, func() bool { return l.viewStatus(n.host.ID, suspect.ID) == state.HostSuspect })
		require.True(t, ok)
		n.paused = true
		l.blocked = func(_, _ state.Host) bool { return false }
		l.run(time.Minute)
		n.heldMessages = nil
		l.startCounting()
		l.resume(n)
		l.run(5 * time.Second)
		require.Zero(t, l.falseDeaths)
		require.True(t, l.allAlive())
	})
}

// TestRestartedHostReplacesPreviousRun checks that a restart with another address replaces
// the host's previous run, address and release version in every view, whether
// the new process starts with a lower, the same or a higher run.
func TestRestartedHostReplacesPreviousRun(t *testing.T) {
	for _, run := range []uint64{0, firstRun, firstRun + 1, 2 * firstRun} {
		forEachSeed(t, func(t *testing.T, l *link) {
			restarted := testHost(1, 0)
			restarted.Relay = restarted.Packets
			l.node(restarted.ID).machine.SetReleaseVersion(7)
			l.run(5 * time.Second)
			l.add(restarted, run, testHost(2, 0))
			_, ok := l.runUntil(20*time.Second, func() bool {
				return l.allJoined() && l.allAlive() && !slices.ContainsFunc(l.nodes, func(n *node) bool {
					seen := n.machine.members.get(restarted.ID)
					previousRun := n.runInView(restarted.ID) == firstRun
					return previousRun || seen != nil && (seen.host != restarted || seen.version != 0)
				})
			})
			require.True(t, ok, "run %d", run)
		})
	}
}

// TestLeavingHostStaysLeavingUntilDead checks that every host sees a leaving host as such
// within 3 s, and until it is killed and marked dead.
func TestLeavingHostStaysLeavingUntilDead(t *testing.T) {
	forEachSeed(t, func(t *testing.T, l *link) {
		n := l.node("host-2-001")
		l.send(n, n.machine.AnnounceLeaving(l.now))
		require.Empty(t, n.machine.AnnounceLeaving(l.now), "a repeated call must not announce again")
		took, ok := l.runUntil(3*time.Second, func() bool { return l.allSee(n.host.ID, state.HostLeaving) })
		require.True(t, ok, "new flows must stop within 3 s")
		t.Logf("leaving in every view after %v", took)
		l.run(30 * time.Second)
		require.True(t, l.allSee(n.host.ID, state.HostLeaving))
		n.killed = true
		_, ok = l.runUntil(20*time.Second, func() bool { return l.allSee(n.host.ID, state.HostDead) })
		require.True(t, ok)
	})
}

// TestDepartedHostIsRemovedFromEveryView checks that a departed host is removed from every
// view within 3 s, does not refute its death, and can join again after a restart.
func TestDepartedHostIsRemovedFromEveryView(t *testing.T) {
	for _, departing := range []state.HostID{"host-2-001", "host-4-000"} {
		forEachSeed(t, func(t *testing.T, l *link) {
			n := l.node(departing)
			l.send(n, n.machine.AnnounceLeaving(l.now))
			l.run(2 * time.Second)
			l.send(n, n.machine.AnnounceDeparture(l.now))
			require.Empty(t, n.machine.AnnounceDeparture(l.now), "a repeated call must not announce again")
			took, ok := l.runUntil(3*time.Second, func() bool { return l.allSee(departing, state.HostDead) })
			require.True(t, ok)
			t.Logf("gone from every view after %v", took)
			l.run(30 * time.Second)
			require.True(t, l.allSee(departing, state.HostDead), "a departed host must not refute its death")
			l.restart(n, firstRun)
			_, ok = l.runUntil(20*time.Second, func() bool { return l.allJoined() && l.allAlive() })
			require.True(t, ok, "a host with the same ID must be able to join again")
		})
	}
}

// TestIndirectProbesBridgeOneWayPartition checks that a host is not marked dead because
// one other host of its domain can't send to it.
func TestIndirectProbesBridgeOneWayPartition(t *testing.T) {
	for seed := range uint64(seedCount) {
		l := newLink(t, seed)
		l.domains(3, 1)
		_, ok := l.runUntil(10*time.Second, l.allJoined)
		require.True(t, ok)
		a, b := testHost(1, 0), testHost(1, 1)
		l.blocked = func(from, to state.Host) bool { return from.ID == a.ID && to.ID == b.ID }
		l.startCounting()
		l.run(5 * time.Minute)
		require.Zero(t, l.falseDeaths, "a third host can reach both hosts")
	}
}

// TestPartitionedDomainIsRemovedAndReturns checks that both sides of a partition remove
// the hosts of the other side, keep their own, and merge once the partition has ended,
// long after the tombstones have expired.
func TestPartitionedDomainIsRemovedAndReturns(t *testing.T) {
	forEachSeed(t, func(t *testing.T, l *link) {
		l.blocked = func(from, to state.Host) bool {
			return from.Domain != to.Domain && (from.Domain == "domain-1" || to.Domain == "domain-1")
		}
		l.startCounting()
		took, ok := l.runUntil(20*time.Second, func() bool {
			return len(l.node("host-1-000").machine.View().Members) == 2 &&
				len(l.node("host-4-000").machine.View().Members) == 5
		})
		require.True(t, ok)
		t.Logf("partition detected on both sides after %v", took)
		l.run(10 * time.Minute)
		require.Equal(t, state.HostAlive, l.viewStatus("host-1-000", "host-1-001"), "hosts inside the partitioned domain must stay alive to each other")
		l.blocked = func(_, _ state.Host) bool { return false }
		took, ok = l.runUntil(20*time.Second, l.allAlive)
		require.True(t, ok)
		t.Logf("all hosts alive in every view after %v", took)
	})
}

// TestStaleGossipDoesNotReviveDeadHost checks that delayed messages from before a host's
// death, of others and of the host itself, do not return it to the views.
func TestStaleGossipDoesNotReviveDeadHost(t *testing.T) {
	forEachSeed(t, func(t *testing.T, l *link) {
		victim := testHost(1, 0)
		old := l.node("host-1-001").machine.gossipFor(testHost(2, 0))
		old.Entries = []Entry{l.node("host-1-001").machine.members.get(victim.ID).entry()}
		l.node(victim.ID).killed = true
		_, ok := l.runUntil(20*time.Second, func() bool { return l.allSee(victim.ID, state.HostDead) })
		require.True(t, ok)
		for range 20 {
			l.run(3 * time.Second)
			for _, n := range l.nodes {
				n.machine.Receive(l.now, testHost(1, 1), Ack{Gossip: old})
				n.machine.Receive(l.now, victim, Ack{Gossip: Gossip{Incarnation: firstIncarnation(firstRun)}})
			}
			require.True(t, l.allSee(victim.ID, state.HostDead))
		}
	})
}

// TestStaleHostListNeitherRevivesNorRemovesHosts checks that a platform list that still
// contains a dead host, marks an alive one as leaving and lacks the others changes no
// status.
func TestStaleHostListNeitherRevivesNorRemovesHosts(t *testing.T) {
	forEachSeed(t, func(t *testing.T, l *link) {
		dead, alive := testHost(1, 0), testHost(3, 1)
		list := objects.HostList{Hosts: []objects.ListedHost{{Host: dead}, {Host: alive, Leaving: true}}}
		l.node(dead.ID).killed = true
		started := l.now
		for l.now.Sub(started) < 2*TombstoneRetention {
			for _, n := range l.nodes {
				n.machine.SetHostList(l.now, list)
			}
			l.run(5 * time.Second)
			require.True(t, l.allSee(alive.ID, state.HostAlive))
		}
		require.True(t, l.allSee(dead.ID, state.HostDead))
		require.Len(t, l.node("host-4-000").machine.View().Members, 6, "hosts that are missing from the list must stay in the view")
	})
}

// TestHostListIntroducesHost checks that a host that knows no seeds joins after two hosts
// have received it in the platform's list.
func TestHostListIntroducesHost(t *testing.T) {
	forEachSeed(t, func(t *testing.T, l *link) {
		added := l.add(testHost(5, 0), firstRun)
		l.run(10 * time.Second)
		require.Equal(t, state.HostDead, l.viewStatus("host-1-000", added.host.ID))
		list := objects.HostList{Hosts: []objects.ListedHost{{Host: added.host}}}
		l.node("host-1-000").machine.SetHostList(l.now, list)
		l.node("host-2-000").machine.SetHostList(l.now, list)
		_, ok := l.runUntil(30*time.Second, func() bool { return l.allSee(added.host.ID, state.HostAlive) })
		require.True(t, ok)
	})
}

func TestReleaseVersionsReachAllHosts(t *testing.T) {
	forEachSeed(t, func(t *testing.T, l *link) {
		for _, n := range l.nodes {
			n.machine.SetReleaseVersion(9)
		}
		took, ok := l.runUntil(30*time.Second, func() bool {
			for _, n := range l.nodes {
				for _, v := range n.machine.ReleaseVersions() {
					if v.Version != 9 {
						return false
					}
				}
			}
			return true
		})
		require.True(t, ok)
		t.Logf("all versions known to all after %v", took)
	})
}
