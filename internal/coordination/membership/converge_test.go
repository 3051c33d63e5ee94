package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/state"
)

// maxConvergenceTime bounds how long views may differ after the last fault.
const maxConvergenceTime = 30 * time.Second

// TestViewsConvergeAfterRandomFaults injects random faults, ends them and checks that
// the view of every running host contains exactly the running hosts. It guards against
// sequences of crashes, pauses, restarts and partitions after which views stay apart.
func TestViewsConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newLink(t, rapid.Uint64().Draw(rt, "seed"))
		l.domains(rapid.SampledFrom([][]int{{3, 2, 2}, {2, 2, 2, 1}, {4, 1}}).Draw(rt, "sizes")...)
		l.run(5 * time.Second)
		run := firstRun
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			n := l.nodes[rapid.IntRange(0, len(l.nodes)-1).Draw(rt, "host")]
			other := l.nodes[rapid.IntRange(0, len(l.nodes)-1).Draw(rt, "other")]
			switch rapid.IntRange(0, 7).Draw(rt, "fault") {
			case 0:
				n.killed = true
			case 1:
				run += rapid.Uint64Range(0, 2).Draw(rt, "run")
				l.restart(n, run)
			case 2:
				n.paused = true
			case 3:
				l.resume(n)
			case 4:
				l.blocked = func(from, to state.Host) bool { return from.ID == n.host.ID && to.ID == other.host.ID }
			case 5:
				l.blocked = func(from, to state.Host) bool {
					return from.Domain != to.Domain && (from.Domain == n.host.Domain || to.Domain == n.host.Domain)
				}
			case 6:
				l.blocked = func(_, to state.Host) bool { return to.ID == n.host.ID }
			case 7:
				l.loss, l.duplication = 0.2, 0.2
			}
			l.checkViews(rt)
			l.run(time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "ms")) * time.Millisecond)
			l.checkViews(rt)
		}
		l.endFaults()
		_, ok := l.runUntil(maxConvergenceTime, l.viewsExact)
		require.True(rt, ok, "seed %d: %s", l.seed, l.views())
	})
}

// restart replaces a host by a new process that is seeded with all hosts.
func (l *link) restart(n *node, run uint64) {
	var hosts []state.Host
	for _, o := range l.nodes {
		hosts = append(hosts, o.host)
	}
	l.add(n.host, run, hosts...)
}

func (l *link) endFaults() {
	l.blocked = func(_, _ state.Host) bool { return false }
	l.loss, l.duplication = 0, 0
	for _, n := range slices.Clone(l.nodes) {
		if n.paused && !n.killed {
			l.resume(n)
		}
	}
}

// viewsExact reports whether the view of every running host contains exactly the running
// hosts, all of them alive.
func (l *link) viewsExact() bool {
	running := 0
	for _, n := range l.nodes {
		if n.running() {
			running++
		}
	}
	for _, n := range l.nodes {
		if n.running() && len(n.machine.View().Members) != running {
			return false
		}
	}
	return l.allAlive()
}

// checkViews checks the invariants of every view: the epoch never decreases, members are
// sorted, the host itself is included and dead hosts are not.
func (l *link) checkViews(t require.TestingT) {
	for _, n := range l.nodes {
		view := n.machine.View()
		require.GreaterOrEqual(t, view.Epoch, n.lastEpoch)
		n.lastEpoch = view.Epoch
		require.True(t, slices.IsSortedFunc(view.Members, func(a, b state.Member) int { return compareHostIDs(a.ID, b.ID) }))
		require.True(t, slices.ContainsFunc(view.Members, func(m state.Member) bool { return m.Host == n.host }))
		for _, m := range view.Members {
			require.NotEqual(t, state.HostDead, m.Status)
		}
	}
}

func (l *link) views() map[state.HostID][]state.HostID {
	views := make(map[state.HostID][]state.HostID)
	for _, n := range l.nodes {
		if !n.running() {
			continue
		}
		for _, m := range n.machine.View().Members {
			views[n.host.ID] = append(views[n.host.ID], m.ID)
		}
	}
	return views
}
