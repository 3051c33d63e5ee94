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

// testPort is below the kernel's ephemeral port range.
const testPort = 7000

// addressCount is the number of loopback addresses allocated so far.
var addressCount atomic.Uint32

// uniqueAddress returns a loopback address in 127.0.0.0/8 that no other call and no other
// test process uses.
func uniqueAddress() netip.AddrPort {
	n := addressCount.Add(1)
	ip := netip.AddrFrom4([4]byte{127, byte(2 + os.Getpid()%250), byte(n >> 8), byte(n)})
	return netip.AddrPortFrom(ip, testPort)
}

func testSettings() settings.Settings {
	return settings.Settings{
		Host: state.Host{
			ID: "a1", Domain: "a",
			Packets: uniqueAddress(), Relay: uniqueAddress(), Control: uniqueAddress(),
		},
		Metrics:       uniqueAddress(),
		ReturnAddress: uniqueAddress(),
		Platform:      settings.Platform{URL: "http://" + uniqueAddress().String(), Timeout: time.Second},
		Traffic:       settings.Traffic{Workers: 2, MaxFlows: 1000},
		LeaveDeadline: settings.DefaultLeaveDeadline,
	}
}

// testDaemon is a daemon under test.
type testDaemon struct {
	settings settings.Settings
	leave    chan struct{}
	done     chan struct{}
	log      bytes.Buffer
}

func startDaemon(t *testing.T) *testDaemon {
	t.Helper()
	r := &testDaemon{settings: testSettings(), leave: make(chan struct{}, 1), done: make(chan struct{})}
	d, err := New(r.settings, slog.New(slog.NewJSONHandler(&r.log, nil)))
	require.NoError(t, err)
	go func() {
		defer close(r.done)
		d.Run(r.leave)
	}()
	t.Cleanup(r.stop)
	return r
}

// stop requests a graceful shutdown and waits until it is complete.
func (r *testDaemon) stop() {
	select {
	case r.leave <- struct{}{}:
	default:
	}
	<-r.done
}

// metricsPage contains the parts of the expvar page that the tests check.
type metricsPage struct {
	Gauges   gaugeValues      `json:"gauges"`
	Counters map[string]int64 `json:"counters"`
	Memstats json.RawMessage  `json:"memstats"`
}

func (r *testDaemon) readMetrics(t *testing.T) metricsPage {
	t.Helper()
	response, err := http.Get("http://" + r.settings.Metrics.String() + MetricsPath)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var p metricsPage
	require.NoError(t, json.Unmarshal(body, &p))
	return p
}

// TestMetricsPageListsReasonsAndGauges checks that the page of a fresh daemon has a
// counter for every reason, so that counters do not appear only after the first event.
func TestMetricsPageListsReasonsAndGauges(t *testing.T) {
	t.Parallel()
	r := startDaemon(t)
	p := r.readMetrics(t)
	for _, reason := range traffic.AllReasons() {
		require.Contains(t, p.Counters, "reason_"+reason.String())
	}
	require.NotEmpty(t, p.Memstats)
	require.Equal(t, state.HostID("a1"), p.Gauges.Host)
	require.Equal(t, int64(1), p.Gauges.Members)
	require.False(t, p.Gauges.Ready)
}

// TestOperatorCalls checks that operators are answered over RPC, also before the daemon
// is ready, and that a query with another protocol version is refused and counted.
func TestOperatorCalls(t *testing.T) {
	t.Parallel()
	r := startDaemon(t)
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
	require.Equal(t, int64(1), r.readMetrics(t).Counters["rpc_refused_version"])
}

// TestInvalidPacketsAreCounted checks that a packet with an unknown IP version and a relay
// message from a non-member are counted and do not stop the daemon.
func TestInvalidPacketsAreCounted(t *testing.T) {
	t.Parallel()
	r := startDaemon(t)
	for _, to := range []netip.AddrPort{r.settings.Host.Packets, r.settings.Host.Relay} {
		conn, err := net.Dial("udp", to.String())
		require.NoError(t, err)
		_, err = conn.Write([]byte{0x10, 0, 0, 0})
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	require.Eventually(t, func() bool {
		counters := r.readMetrics(t).Counters
		return counters["packet_ip_version"] == 1 && counters["relay_not_a_member"] == 1
	}, time.Minute, 10*time.Millisecond)
}

// TestGracefulShutdownLogsEventsInOrder checks the complete log of a graceful shutdown,
// and that the control port is closed at its end.
func TestGracefulShutdownLogsEventsInOrder(t *testing.T) {
	t.Parallel()
	r := startDaemon(t)
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

// TestNewClosesSocketsWhenAddressIsInUse checks that New closes the sockets that are
// already open if a later one can't be opened, and that the error names the address.
func TestNewClosesSocketsWhenAddressIsInUse(t *testing.T) {
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
