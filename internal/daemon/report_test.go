package daemon

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/control"
	"github.com/guavawharf/guavawharf/internal/state"
)

// plannedTargets is the planned number of targets behind all services.
const plannedTargets = 27_000

// plannedServices is the planned number of services.
const plannedServices = 3_600

func newPlannedSnapshot() *state.Snapshot { return newSnapshot(plannedServices, plannedTargets) }

func newSnapshot(services, targets int) *state.Snapshot {
	snapshot := &state.Snapshot{
		Version:  1,
		Services: make(map[state.ServiceAddress]*state.ServiceEntry),
		Targets:  make(map[state.TargetNumber]*state.TargetEntry),
	}
	entries := make([]*state.ServiceEntry, services)
	for n := range services {
		ip := netip.AddrFrom4([4]byte{198, 51, byte(n >> 8), byte(n)})
		entries[n] = &state.ServiceEntry{}
		snapshot.Services[state.ServiceAddress{Protocol: state.TCP, Address: netip.AddrPortFrom(ip, 443)}] = entries[n]
	}
	for n := range targets {
		target := &state.TargetEntry{
			Target:   state.Target{Number: state.TargetNumber(n + 1)},
			Counters: &state.TargetCounters{},
		}
		snapshot.Targets[target.Number] = target
		service := entries[n%services]
		service.TargetEntries = append(service.TargetEntries, target)
	}
	return snapshot
}

// TestReportListsChangedTargetsOnly checks that a report contains the increase since the
// previous report and no unchanged targets, and that the totals of targets that are not
// in the new release are dropped.
func TestReportListsChangedTargetsOnly(t *testing.T) {
	snapshot := newSnapshot(2, 4)
	var r reporter
	require.Empty(t, r.nextReport(snapshot, 0).Targets)
	snapshot.Targets[3].Counters.Openings.Add(5)
	snapshot.Targets[3].Counters.OpenFlows.Add(2)
	snapshot.Targets[4].Counters.Resets.Add(1)
	require.ElementsMatch(t, []control.TargetReport{
		{Number: 3, OpenFlows: 2, Openings: 5},
		{Number: 4, Resets: 1},
	}, r.nextReport(snapshot, 0).Targets)
	snapshot.Targets[3].Counters.Openings.Add(1)
	require.Equal(t, []control.TargetReport{{Number: 3, OpenFlows: 2, Openings: 1}}, r.nextReport(snapshot, 0).Targets)

	next := newSnapshot(1, 1)
	next.Version = 2
	require.Empty(t, r.nextReport(next, 0).Targets)
	require.Empty(t, r.lastTotals)
}

// TestTargetGaugeFollowsSnapshot checks that a new snapshot updates the target count and
// that withdrawn targets are not counted.
func TestTargetGaugeFollowsSnapshot(t *testing.T) {
	c := &controller{snapshot: newSnapshot(1, 3)}
	var g gauges
	g.update(c)
	require.Equal(t, int64(3), g.targets.Load())
	c.snapshot = newSnapshot(1, 2)
	c.snapshot.Targets[1].Withdrawn = true
	g.update(c)
	require.Equal(t, int64(1), g.targets.Load())
}

// BenchmarkGaugesUpdate measures the gauge update that follows each event of the control
// goroutine.
func BenchmarkGaugesUpdate(b *testing.B) {
	c := &controller{snapshot: newPlannedSnapshot()}
	var g gauges
	for b.Loop() {
		g.update(c)
	}
}

// BenchmarkNextReport measures one traffic report in which a hundred targets have new
// flows.
func BenchmarkNextReport(b *testing.B) {
	snapshot := newPlannedSnapshot()
	var r reporter
	for b.Loop() {
		for n := range 100 {
			snapshot.Targets[state.TargetNumber(n+1)].Counters.Openings.Add(1)
		}
		r.nextReport(snapshot, 0)
	}
}
