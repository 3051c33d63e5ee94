package edgeload

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/edge"
	"github.com/guavawharf/guavawharf/internal/protocol/edgesettings"
	"github.com/guavawharf/guavawharf/internal/transport/limitlog"
	"github.com/guavawharf/guavawharf/platform/platformtest"
)

// Ports of the hosts and the store.
const (
	packetsPort = 7000
	readyPort   = 7001
	metricsPort = 7002
	controlPort = 7003
	storePort   = 7004
)

// startHosts starts guavaedge hosts, which are stopped when the test ends, and
// returns settings for a run with them.
func startHosts(t *testing.T, hosts byte) Settings {
	network, err := platformtest.ClaimLoopback()
	require.NoError(t, err)
	settings := Settings{
		Store:       network.Address(200, 1, storePort),
		FirstTarget: network.Address(201, 1, 0).Addr(),
		FirstClient: network.Address(202, 1, packetsPort), TargetCount: 3, ClientCount: 4,
		Duration: 1500 * time.Millisecond, Seed: 1,
	}
	for number := byte(1); number <= hosts; number++ {
		host := edgesettings.Settings{
			HostID: "edge", Domain: domain, StoreAddress: settings.Store,
			Packets: network.Address(203, number, packetsPort), Ready: network.Address(203, number, readyPort),
			Metrics: network.Address(203, number, metricsPort), Control: network.Address(203, number, controlPort),
			Seeds:       []netip.AddrPort{network.Address(203, 1, controlPort)},
			ChangeBound: time.Second, DrainBound: time.Second, LeaveDeadline: 3 * time.Second, MaxFlowAge: time.Minute,
		}
		startHost(t, host)
		settings.Hosts = append(settings.Hosts, Host{Packets: host.Packets, Ready: host.Ready})
	}
	return settings
}

func startHost(t *testing.T, settings edgesettings.Settings) {
	host, err := edge.New(settings, "test", slog.New(slog.DiscardHandler), func() limitlog.DropCounts { return limitlog.DropCounts{} })
	require.NoError(t, err)
	leave, stopped := make(chan struct{}, 1), make(chan struct{})
	go func() {
		defer close(stopped)
		host.Run(leave)
	}()
	t.Cleanup(func() {
		leave <- struct{}{}
		<-stopped
	})
}

// Draining a target under load must not lose, reset or repeat a request. The run
// ends before drainTime, so the later planned changes are not made.
func TestAllRequestsServedWhileTargetDrains(t *testing.T) {
	report, err := Run(t.Context(), startHosts(t, 2))
	require.NoError(t, err)
	require.Positive(t, report.Served)
	require.Equal(t, report.Requests, report.Served, "%+v", report)
	require.Zero(t, report.Resets+report.Unanswered)
	require.False(t, report.GuaranteeViolated())
	require.Contains(t, report.String(), "served")
}

// A host that never becomes ready must end the run with an error.
func TestRunFailsWithoutReadyHosts(t *testing.T) {
	settings := startHosts(t, 0)
	settings.Store = netip.AddrPortFrom(settings.Store.Addr(), storePort+1)
	settings.Hosts = []Host{{Packets: settings.FirstClient, Ready: settings.FirstClient}}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := Run(ctx, settings)
	require.ErrorContains(t, err, "ready")
}

// A host that missed maxMissedProbes probes in a row must get no packets, unless no
// host is in rotation.
func TestHostLeavesRotationAfterMissedProbes(t *testing.T) {
	a, b := netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:1")
	r := newRotation([]Host{{Packets: a}, {Packets: b}})
	r.missedProbes = []int{maxMissedProbes, 1}
	choose := r.chooser(rand.New(rand.NewPCG(1, 1)))
	for range 20 {
		require.Equal(t, b, choose())
	}
	r.missedProbes[1] = maxMissedProbes
	seen := make(map[netip.AddrPort]bool)
	for range 50 {
		seen[choose()] = true
	}
	require.Len(t, seen, 2, "all hosts get packets if none is in rotation")
}

// Repeated runs and wrong answers violate a guarantee; resets and missing answers
// don't.
func TestReportGuaranteeViolated(t *testing.T) {
	require.True(t, Report{RanTwice: 1}.GuaranteeViolated())
	require.True(t, Report{WrongAnswers: 1}.GuaranteeViolated())
	require.False(t, Report{Resets: 3, Unanswered: 1}.GuaranteeViolated())
}
