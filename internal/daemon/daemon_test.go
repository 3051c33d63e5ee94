package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/protocol/rpcapi"
	"github.com/guavawharf/guavawharf/internal/protocol/settings"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/transport/netrpc"
)

// testPort is below the ports that the kernel gives to outgoing connections.
const testPort = 7000

// addresses counts the loopback addresses handed out.
var addresses atomic.Uint32

// ownAddress returns an address that nothing else of this machine uses: each call
// and each test process has its own in 127.0.0.0/8.
func ownAddress() netip.AddrPort {
	n := addresses.Add(1)
	ip := netip.AddrFrom4([4]byte{127, byte(2 + os.Getpid()%250), byte(n >> 8), byte(n)})
	return netip.AddrPortFrom(ip, testPort)
}

func testSettings() settings.Settings {
	return settings.Settings{
		Host: state.Host{
			ID: "a1", Domain: "a",
			Packets: ownAddress(), Relay: ownAddress(), Control: ownAddress(),
		},
		Metrics:       ownAddress(),
		Return:        ownAddress(),
		Platform:      settings.Platform{URL: "http://" + ownAddress().String(), Timeout: time.Second},
		Traffic:       settings.Traffic{Workers: 2, MaxFlows: 1000},
		LeaveDeadline: settings.DefaultLeaveDeadline,
	}
}

// running is a daemon under test.
type running struct {
	settings settings.Settings
	leave    chan struct{}
	done     chan struct{}
	log      bytes.Buffer
}

func start(t *testing.T) *running {
	t.Helper()
	r := &running{settings: testSettings(), leave: make(chan struct{}, 1), done: make(chan struct{})}
	d, err := New(r.settings, slog.New(slog.NewJSONHandler(&r.log, nil)))
	require.NoError(t, err)
	go func() {
		defer close(r.done)
		d.Run(r.leave)
	}()
	t.Cleanup(r.stop)
	return r
}

// stop asks for a graceful shutdown and waits for its end.
func (r *running) stop() {
	select {
	case r.leave <- struct{}{}:
	default:
	}
	<-r.done
}

// page is the part of the expvar page that is this daemon's.
type page struct {
	Gauges   gaugeValues      `json:"gauges"`
	Counters map[string]int64 `json:"counters"`
	Memstats json.RawMessage  `json:"memstats"`
}

func (r *running) page(t *testing.T) page {
	t.Helper()
	response, err := http.Get("http://" + r.settings.Metrics.String() + MetricsPath)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var p page
	require.NoError(t, json.Unmarshal(body, &p))
	return p
}

func TestPageShowsEveryReasonAndTheGauges(t *testing.T) {
	t.Parallel()
	r := start(t)
	p := r.page(t)
	for _, reason := range traffic.AllReasons() {
		require.Contains(t, p.Counters, "reason_"+reason.String())
	}
	require.NotEmpty(t, p.Memstats)
	require.Equal(t, state.HostID("a1"), p.Gauges.Host)
	require.Equal(t, int64(1), p.Gauges.Members)
	require.False(t, p.Gauges.Ready)
}

func TestOperatorsAreAnswered(t *testing.T) {
	t.Parallel()
	r := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	address := r.settings.Host.Control.String()
	query := rpcapi.Query{Version: rpcapi.Version}
	var hosts rpcapi.HostsReply
	require.NoError(t, netrpc.Call(ctx, address, rpcapi.MethodHosts, query, &hosts))
	require.False(t, hosts.Ready)
	require.NotEmpty(t, hosts.Awaited)
	require.Len(t, hosts.Rows, 1)
	require.Equal(t, "alive", hosts.Rows[0].Status)
	var counters rpcapi.CountersReply
	require.NoError(t, netrpc.Call(ctx, address, rpcapi.MethodCounters, query, &counters))
	require.NotEmpty(t, counters.Rows)
	query.Version++
	require.Error(t, netrpc.Call(ctx, address, rpcapi.MethodHosts, query, &hosts))
	require.Equal(t, int64(1), r.page(t).Counters["rpc_refused_version"])
}

func TestForeignPacketsAreCountedAndTheDaemonGoesOn(t *testing.T) {
	t.Parallel()
	r := start(t)
	for _, to := range []netip.AddrPort{r.settings.Host.Packets, r.settings.Host.Relay} {
		conn, err := net.Dial("udp", to.String())
		require.NoError(t, err)
		_, err = conn.Write([]byte{0x10, 0, 0, 0})
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	require.Eventually(t, func() bool {
		counters := r.page(t).Counters
		return counters["packet_ip_version"] == 1 && counters["relay_not_a_member"] == 1
	}, time.Minute, 10*time.Millisecond)
}

func TestLeaveEndsInOrder(t *testing.T) {
	t.Parallel()
	r := start(t)
	r.stop()
	var names []string
	decoder := json.NewDecoder(&r.log)
	for {
		var line struct {
			Message string `json:"msg"`
		}
		if decoder.Decode(&line) != nil {
			break
		}
		names = append(names, line.Message)
	}
	require.Equal(t, []string{LogStarted, LogLeaveRequested, "leave_announced", "leave_complete", LogStopped}, names)
	_, err := net.Dial("tcp", r.settings.Host.Control.String())
	require.Error(t, err)
}

func TestAnAddressInUseIsAnErrorAndLeavesNothingOpen(t *testing.T) {
	t.Parallel()
	s := testSettings()
	taken, err := net.Listen("tcp", s.Metrics.String())
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	_, err = New(s, slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, s.Metrics.String())
	conn, err := net.ListenPacket("udp", s.Host.Packets.String())
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}
