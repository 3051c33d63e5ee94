package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

const seeds = 5

// forEachSeed runs a scenario on today's largest layout: seven hosts in four
// domains that have joined.
func forEachSeed(t *testing.T, scenario func(t *testing.T, l *link)) {
	for seed := range uint64(seeds) {
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

func TestViewUnchangedWithoutMembershipChange(t *testing.T) {
	forEachSeed(t, func(t *testing.T, l *link) {
		m := l.node("host-1-000").machine
		before := m.View()
		l.run(10 * time.Second)
		require.Equal(t, before.Epoch, m.View().Epoch)
		require.Same(t, &before.Members[0], &m.View().Members[0])
	})
}

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
				require.Equal(t, firstRun, other.runInView(victim), "its records are still there")
			}
		})
	}
}

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

func TestRestartedHostReplacesPreviousRun(t *testing.T) {
	for _, run := range []uint64{0, firstRun, firstRun + 1, 2 * firstRun} {
		forEachSeed(t, func(t *testing.T, l *link) {
			moved := testHost(1, 0)
			moved.Relay = moved.Packets
			l.node(moved.ID).machine.SetReleaseVersion(7)
			l.run(5 * time.Second)
			l.add(moved, run, testHost(2, 0))
			_, ok := l.runUntil(20*time.Second, func() bool {
				return l.allJoined() && l.allAlive() && !slices.ContainsFunc(l.nodes, func(n *node) bool {
					seen := n.machine.members.get(moved.ID)
					former := n.runInView(moved.ID) == firstRun
					return former || seen != nil && (seen.host != moved || seen.version != 0)
				})
			})
			require.True(t, ok, "run %d", run)
		})
	}
}

func TestLeavingHostStaysLeavingUntilDead(t *testing.T) {
	forEachSeed(t, func(t *testing.T, l *link) {
		n := l.node("host-2-001")
		l.send(n, n.machine.AnnounceLeaving(l.now))
		require.Empty(t, n.machine.AnnounceLeaving(l.now), "announced once")
		took, ok := l.runUntil(3*time.Second, func() bool { return l.allSee(n.host.ID, state.HostLeaving) })
		require.True(t, ok, "no new work after at most 3 s")
		t.Logf("leaving in every view after %v", took)
		l.run(30 * time.Second)
		require.True(t, l.allSee(n.host.ID, state.HostLeaving))
		n.killed = true
		_, ok = l.runUntil(20*time.Second, func() bool { return l.allSee(n.host.ID, state.HostDead) })
		require.True(t, ok)
	})
}

func TestDepartedHostIsRemovedFromEveryView(t *testing.T) {
	for _, leaver := range []state.HostID{"host-2-001", "host-4-000"} {
		forEachSeed(t, func(t *testing.T, l *link) {
			n := l.node(leaver)
			l.send(n, n.machine.AnnounceLeaving(l.now))
			l.run(2 * time.Second)
			l.send(n, n.machine.AnnounceDeparture(l.now))
			require.Empty(t, n.machine.AnnounceDeparture(l.now), "announced once")
			took, ok := l.runUntil(3*time.Second, func() bool { return l.allSee(leaver, state.HostDead) })
			require.True(t, ok)
			t.Logf("gone from every view after %v", took)
			l.run(30 * time.Second)
			require.True(t, l.allSee(leaver, state.HostDead), "it does not refute")
			l.restart(n, firstRun)
			_, ok = l.runUntil(20*time.Second, func() bool { return l.allJoined() && l.allAlive() })
			require.True(t, ok, "a host with the same ID may come back")
		})
	}
}

func TestIndirectProbesBridgeOneWayPartition(t *testing.T) {
	for seed := range uint64(seeds) {
		l := newLink(t, seed)
		l.domains(3, 1)
		_, ok := l.runUntil(10*time.Second, l.allJoined)
		require.True(t, ok)
		a, b := testHost(1, 0), testHost(1, 1)
		l.blocked = func(from, to state.Host) bool { return from.ID == a.ID && to.ID == b.ID }
		l.startCounting()
		l.run(5 * time.Minute)
		require.Zero(t, l.falseDeaths, "a third host reaches both")
	}
}

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
		t.Logf("cut seen on both sides after %v", took)
		l.run(10 * time.Minute)
		require.Equal(t, state.HostAlive, l.viewStatus("host-1-000", "host-1-001"), "the domain itself stays whole")
		l.blocked = func(_, _ state.Host) bool { return false }
		took, ok = l.runUntil(20*time.Second, l.allAlive)
		require.True(t, ok)
		t.Logf("whole again after %v", took)
	})
}

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
		require.Len(t, l.node("host-4-000").machine.View().Members, 6, "hosts that the list lacks stay")
	})
}

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
