package edge

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/protocol/edgesettings"
	"github.com/guavawharf/guavawharf/internal/transport/limitlog"
	"github.com/guavawharf/guavawharf/platform/platformtest"
)

// testTimeout bounds every wait of these tests.
const testTimeout = 10 * time.Second

// Service addresses of these tests, as clients use them. Some configurations have no
// route for removedAddress.
var (
	servedAddress  = netip.MustParseAddrPort("198.18.0.1:8443")
	removedAddress = netip.MustParseAddrPort("198.18.0.1:9000")
)

// testBed is a platform with a store, a client and one edge host.
type testBed struct {
	t       *testing.T
	network *platformtest.Loopback
	store   *platformtest.Store
	server  *httptest.Server
	client  *platformtest.Client
	host    netip.AddrPort
	ready   netip.AddrPort
	metrics netip.AddrPort
	logs    *logBuffer
	seeds   []netip.AddrPort
	// drainBound is the host's bound for drains of failure domains, 0 if it reads none.
	drainBound time.Duration
	// targetBound is the host's bound for changes of targets, 0 for one second.
	targetBound time.Duration
	// sharesSlowStarts has the hosts share out the slow starts of targets.
	sharesSlowStarts bool
	running          *Edge
	leave            chan struct{}
	stopped          chan struct{}
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) contains(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), part)
}

// bedCount counts the test beds of this process. Each has addresses of its own, so that
// parallel tests share no port.
var bedCount atomic.Uint32

// Ports of a test bed's host; clients use the first one, too.
const (
	packetsPort = 7000
	readyPort   = 7001
	metricsPort = 7002
	controlPort = 7003
)

// newTestBed starts a store and a client, but no host.
func newTestBed(t *testing.T) *testBed {
	t.Parallel()
	network, err := platformtest.ClaimLoopback()
	require.NoError(t, err)
	group := byte(bedCount.Add(1))
	b := &testBed{
		t: t, network: network, store: platformtest.NewStore(), logs: new(logBuffer),
		host:    network.Address(group, 1, packetsPort),
		ready:   network.Address(group, 1, readyPort),
		metrics: network.Address(group, 1, metricsPort),
	}
	b.server = httptest.NewServer(b.store)
	t.Cleanup(b.server.Close)
	b.client, err = platformtest.NewClient(network.Address(group, 2, packetsPort))
	require.NoError(t, err)
	t.Cleanup(b.client.Close)
	b.configure(1, servedAddress, removedAddress)
	return b
}

// configure writes a configuration with routes for the addresses to the store.
func (b *testBed) configure(version int, addresses ...netip.AddrPort) {
	b.store.PutConfig(version, "taller", addresses...)
}

// target starts a target and writes its entry to the store.
func (b *testBed) target(name, zone string) *platformtest.Target {
	target, err := platformtest.NewTarget(b.host.Addr(), name, packetsPort)
	require.NoError(b.t, err)
	go target.Serve()
	b.t.Cleanup(target.Stop)
	b.store.Put("servers", name, target.Entry("taller", zone, "ready"))
	return target
}

// settings returns the host's settings.
func (b *testBed) settings() edgesettings.Settings {
	settings := edgesettings.Settings{
		HostID: "edge-a-1", Domain: "a", Packets: b.host, Ready: b.ready, Metrics: b.metrics,
		Control:      netip.AddrPortFrom(b.host.Addr(), controlPort),
		Seeds:        b.seeds,
		StoreAddress: netip.MustParseAddrPort(strings.TrimPrefix(b.server.URL, "http://")),
		ChangeBound:  time.Second, DrainBound: time.Second, LeaveDeadline: 3 * time.Second, MaxFlowAge: time.Minute,
		DomainDrainBound: b.drainBound,
	}
	if b.targetBound > 0 {
		settings.DrainBound = b.targetBound
	}
	if b.sharesSlowStarts {
		settings.SlowStartOverage, settings.SlowStartSlack = 1.5, 5
	}
	return settings
}

// start runs the host until stop or the end of the test.
func (b *testBed) start() {
	b.startWith(slog.New(slog.NewTextHandler(b.logs, nil)), func() limitlog.DropCounts { return limitlog.DropCounts{} })
}

// startWith runs the host with the given logger.
func (b *testBed) startWith(log *slog.Logger, dropCounts func() limitlog.DropCounts) {
	host, err := New(b.settings(), "test", log, dropCounts)
	require.NoError(b.t, err)
	b.running = host
	leave, stopped := make(chan struct{}, 1), make(chan struct{})
	b.leave, b.stopped = leave, stopped
	go func() {
		defer close(stopped)
		host.Run(leave)
	}()
	b.t.Cleanup(b.stop)
}

// startReadyHost returns a test bed with one target and a host that is ready.
func startReadyHost(t *testing.T) *testBed {
	b := newTestBed(t)
	b.target("i-2a00000001", "a")
	b.start()
	b.waitReady()
	return b
}

// stop shuts the host down gracefully; a second call does nothing.
func (b *testBed) stop() {
	select {
	case b.leave <- struct{}{}:
	default:
	}
	<-b.stopped
}

func (b *testBed) isReady() bool {
	response, err := http.Get("http://" + b.ready.String() + platformtest.PathReady)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (b *testBed) waitReady() { b.eventually(b.isReady) }

func (b *testBed) eventually(what func() bool) {
	require.Eventually(b.t, what, testTimeout, 5*time.Millisecond)
}

// hostAddress is the address to which the fabric sends every packet.
func (b *testBed) hostAddress() netip.AddrPort { return b.host }

// open opens a flow. The client retransmits until testTimeout.
func (b *testBed) open() *platformtest.Flow {
	flow, err := b.client.Open(b.hostAddress, servedAddress, testTimeout)
	require.NoError(b.t, err)
	return flow
}

// request sends a request and returns the name of the target that answers.
func (b *testBed) request(flow *platformtest.Flow) string {
	answer, err := flow.Request("request", testTimeout)
	require.NoError(b.t, err)
	name, request, _ := strings.Cut(answer, " ")
	require.Equal(b.t, "request", request)
	return name
}

func TestFlowKeepsItsTargetAcrossHostRestart(t *testing.T) {
	b := newTestBed(t)
	b.target("i-2a00000001", "a")
	b.target("i-2a00000002", "a")
	b.start()
	b.waitReady()
	flow := b.open()
	name := b.request(flow)
	b.stop()
	b.start()
	b.waitReady()
	require.Equal(t, name, b.request(flow), "the cookie alone identifies the target")
}

// The client sends its SYN once, while the host still waits for the store.
func TestPacketsAreHeldUntilTheHostIsReady(t *testing.T) {
	b := newTestBed(t)
	b.target("i-2a00000001", "a")
	b.store.SetFault(func(http.ResponseWriter, *http.Request) bool {
		time.Sleep(startupWait / 8)
		return false
	})
	b.start()
	require.Equal(t, "i-2a00000001", b.request(b.open()))
	require.False(t, b.logs.contains("not_ready"))
}

func TestHostIsNotReadyWithoutTargetsOrWhileLeaving(t *testing.T) {
	b := newTestBed(t)
	b.start()
	b.eventually(func() bool { return b.logs.contains("configuration in force") })
	require.False(t, b.isReady())
	b.target("i-2a00000001", "a")
	b.waitReady()
	flow := b.open()
	b.leave <- struct{}{}
	b.eventually(func() bool { return !b.isReady() })
	require.Equal(t, "i-2a00000001", b.request(flow), "packets are forwarded until the fabric uses another host")
	<-b.stopped
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	b := startReadyHost(t)
	_, err := b.client.Open(b.hostAddress, removedAddress, testTimeout)
	require.NoError(t, err)
	b.configure(3, servedAddress)
	b.eventually(func() bool {
		_, err := b.client.Open(b.hostAddress, removedAddress, testTimeout)
		return err == platformtest.ErrReset
	})
	b.configure(2, servedAddress, removedAddress)
	b.configure(4, servedAddress)
	b.eventually(func() bool { return b.logs.contains("config=4") })
	require.False(t, b.logs.contains("config=2"))
}

func TestDrainingTargetGetsNoNewFlow(t *testing.T) {
	b := newTestBed(t)
	first := b.target("i-2a00000001", "a")
	b.start()
	b.waitReady()
	flow := b.open()
	b.target("i-2a00000002", "a")
	b.store.Put("servers", first.Name, first.Entry("taller", "a", "draining"))
	b.eventually(func() bool { return b.request(b.open()) == "i-2a00000002" })
	require.Equal(t, first.Name, b.request(flow))
}

func TestSYNToDeadTargetIsRetriedOnAnother(t *testing.T) {
	b := newTestBed(t)
	dead := b.target("i-2a00000001", "a")
	b.target("i-2a00000002", "a")
	b.start()
	b.eventually(func() bool { return b.logs.contains("i-2a00000002") && b.isReady() })
	dead.Stop()
	for range 20 {
		require.Equal(t, "i-2a00000002", b.request(b.open()))
	}
	require.True(t, b.logs.contains("target does not answer"))
}

// Guards against overdue work that is never handled: under steady traffic a read always
// finds packets, so its deadline never ends it.
func TestSYNsAreRetriedUnderSteadyTraffic(t *testing.T) {
	b := newTestBed(t)
	dead := b.target("i-2a00000001", "a")
	b.target("i-2a00000002", "a")
	b.start()
	b.eventually(func() bool { return b.logs.contains("i-2a00000002") && b.isReady() })
	conn, err := net.Dial("udp", b.host.String())
	require.NoError(t, err)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			default:
				// A full socket drops datagrams; the host counts what it gets.
				_, _ = conn.Write([]byte("short"))
				time.Sleep(50 * time.Microsecond)
			}
		}
	}()
	dead.Stop()
	for range 10 {
		began := time.Now()
		b.open()
		require.Less(t, time.Since(began), 180*time.Millisecond, "before the client's first retransmission")
	}
}

// A flood of packets that each produce a log line, while the reader of the log has
// stopped, must not delay forwarding.
func TestBlockedLogDoesNotDelayFlows(t *testing.T) {
	b := newTestBed(t)
	b.target("i-2a00000001", "a")
	reader, stuck := io.Pipe()
	t.Cleanup(func() { _ = reader.Close() })
	lines := limitlog.NewWriter(stuck)
	handler := limitlog.NewHandler(slog.NewJSONHandler(lines, nil), lines, edgesettings.DefaultLogRate, time.Now)
	b.startWith(slog.New(handler), handler.DropCounts)
	b.waitReady()
	conn, err := net.Dial("udp", b.host.String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for range 30 {
		for range 500 {
			// A full socket drops datagrams; the host counts what it gets.
			_, _ = conn.Write([]byte("short"))
		}
		began := time.Now()
		require.Equal(t, "i-2a00000001", b.request(b.open()))
		require.Less(t, time.Since(began), testTimeout)
	}
	require.Positive(t, handler.DropCounts().OverBudget)
}

func TestChangesSurviveLossOfStoreHistory(t *testing.T) {
	b := startReadyHost(t)
	b.target("i-2a00000002", "a")
	b.store.Delete("servers", "i-2a00000001")
	b.store.CompactHistory()
	b.eventually(func() bool { return b.request(b.open()) == "i-2a00000002" })
}

// storeFaults are ways in which the store fails to answer.
var storeFaults = map[string]platformtest.Fault{
	"busy": func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	},
	"many": func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusTooManyRequests)
		return true
	},
	"reset": func(w http.ResponseWriter, _ *http.Request) bool {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
		return true
	},
	"nonsense": func(w http.ResponseWriter, _ *http.Request) bool {
		_, _ = io.WriteString(w, "<html>")
		return true
	},
}

// Guards against a host that never called the store again after one failure: the name of
// a circuit breaker state made a metric name that panicked (hanbit-gw trouble-1).
func TestHostServesThroughStoreOutageAndRecovers(t *testing.T) {
	for name, fault := range storeFaults {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			b.target("i-2a00000001", "a")
			b.start()
			b.waitReady()
			b.store.SetFault(fault)
			b.eventually(func() bool { return b.logs.contains("store lost") })
			calls := b.store.Calls()
			b.eventually(func() bool { return b.store.Calls() > calls+10 })
			require.Equal(t, "i-2a00000001", b.request(b.open()))
			b.configure(5, servedAddress)
			b.store.SetFault(nil)
			b.eventually(func() bool { return b.logs.contains("store regained") && b.logs.contains("config=5") })
		})
	}
}

func TestInvalidEntriesAndPacketsAreLoggedAndIgnored(t *testing.T) {
	b := newTestBed(t)
	b.target("i-2a00000001", "a")
	b.store.Put("servers", "i-2a00000003", map[string]any{"service": 7})
	b.store.Put("config", "other", "not a configuration")
	b.start()
	b.waitReady()
	b.eventually(func() bool { return b.logs.contains("target entry not read") })
	conn, err := net.Dial("udp", b.host.String())
	require.NoError(t, err)
	_, err = conn.Write([]byte("short"))
	require.NoError(t, err)
	b.eventually(func() bool { return b.logs.contains("packet dropped") })
	require.Equal(t, "i-2a00000001", b.request(b.open()))
}

// scrapeMetrics returns the host's metrics page.
func (b *testBed) scrapeMetrics() string {
	response, err := http.Get("http://" + b.metrics.String() + pathMetrics)
	require.NoError(b.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(b.t, err)
	return string(body)
}

func TestMetricsAreServedAsText(t *testing.T) {
	b := startReadyHost(t)
	b.request(b.open())
	body := b.scrapeMetrics()
	require.Contains(t, body, `guava_verdicts_total{reason="placed"} 1`)
	require.Contains(t, body, "guava_platform_attempt_list_total 2")
	for _, name := range []string{
		"guava_opening_seconds_count 1", "guava_decision_seconds_count 1", "guava_config_version 1",
		"guava_targets_age_seconds ", "guava_config_age_seconds ", `guava_store_call_seconds_bucket{kind="config",result="ok",le="`,
	} {
		require.Contains(t, body, name)
	}
}
