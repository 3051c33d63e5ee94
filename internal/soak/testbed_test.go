package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/platform/platformtest"
)

// Sizes, ports and times of a testbed.
const (
	hosts      = 4
	targets    = 4
	clients    = 8
	packetPort = 7000
	readyPort  = 7001

	requestTimeout = 4 * time.Second
	// settleTime is how long recovery from the last fault may take: one poll, one
	// health check and one process start.
	settleTime = 2500 * time.Millisecond
	// changeBound is the value of bounds.change and bounds.drain in the hosts' settings.
	changeBound = time.Second
)

// service is the address that clients open flows to.
var service = netip.MustParseAddrPort("198.18.0.1:8443")

// testbed is a stand-in for the platform with guavaedge hosts, targets and clients.
type testbed struct {
	t       *testing.T
	seed    uint64
	network *platformtest.Loopback
	store   *platformtest.Store
	server  *httptest.Server
	hosts   []*host
	running sync.WaitGroup
	served  atomic.Int64
	failed  atomic.Int64
	faults  map[string]int

	mu              sync.Mutex
	violations      []string
	runCounts       map[string]int
	opened          map[netip.AddrPort][]string
	targets         []*target
	nextID          int
	requests        int
	nextIP          byte
	version         int
	lastDisturbance time.Time
}

// target is a stand-in target and whether it has crashed or is draining.
type target struct {
	*platformtest.Target
	crashed bool
	leaving bool
}

// host is an entry host: its addresses, files and current guavaedge process.
type host struct {
	address netip.AddrPort
	ready   netip.AddrPort
	config  string
	log     *os.File

	// restarting is locked from the end of a process to the start of the next.
	restarting sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	paused  bool
}

// address returns an address of the testbed on the loopback network.
func (w *testbed) address(group, number byte, port uint16) netip.AddrPort {
	return w.network.Address(group, number, port)
}

func newTestbed(t *testing.T, seed uint64) *testbed {
	network, err := platformtest.ClaimLoopback()
	require.NoError(t, err)
	w := &testbed{
		t: t, seed: seed, network: network, store: platformtest.NewStore(), faults: make(map[string]int),
		runCounts: make(map[string]int), opened: make(map[netip.AddrPort][]string),
	}
	w.server = httptest.NewServer(w.store)
	t.Cleanup(w.server.Close)
	w.configure()
	for range targets {
		w.startTarget()
	}
	for number := range hosts {
		w.hosts = append(w.hosts, w.newHost(byte(number+1)))
	}
	t.Cleanup(w.close)
	w.waitReady()
	return w
}

func (w *testbed) configure() {
	w.version++
	w.store.PutConfig(w.version, "taller", service)
}

func (w *testbed) startTarget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	name := fmt.Sprintf("i-2a%08x", w.nextID)
	started, err := platformtest.NewTarget(w.address(2, byte(w.nextID), 0).Addr(), name, packetPort)
	require.NoError(w.t, err)
	started.Ran = w.checkRunsOnce
	started.Opened = func(client netip.AddrPort) { w.recordOpening(client, name) }
	go started.Serve()
	w.targets = append(w.targets, &target{Target: started})
	w.store.Put("servers", name, started.Entry("taller", "a", "ready"))
}

// recordOpening records that a target accepted an opening of a client. Several targets
// may accept copies of one opening; the first answer names the one that has the flow.
func (w *testbed) recordOpening(client netip.AddrPort, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opened[client] = append(w.opened[client], name)
}

// possibleTargets returns the targets that may hold a flow: its target, if an answer has
// named it, or else all that accepted its opening.
func (w *testbed) possibleTargets(target string, client netip.AddrPort) []string {
	if target != "" {
		return []string{target}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.opened[client])
}

// control returns the address at which host number answers other hosts.
func (w *testbed) control(number byte) netip.AddrPort { return w.address(1, number, readyPort+2) }

func (w *testbed) newHost(number byte) *host {
	h := &host{address: w.address(1, number, packetPort), ready: w.address(1, number, readyPort)}
	dir := w.t.TempDir()
	h.config = filepath.Join(dir, "edge.toml")
	settings := fmt.Sprintf("[host]\nid = \"edge-%d\"\ndomain = \"a\"\npackets = %q\nready = %q\nmetrics = %q\ncontrol = %q\n[peers]\nseeds = [%q, %q]\n[store]\naddress = %q\n[bounds]\nchange = %q\ndrain = %q\nleave = \"3s\"\n",
		number, h.address, h.ready, w.address(1, number, readyPort+1), w.control(number), w.control(1), w.control(2), strings.TrimPrefix(w.server.URL, "http://"), changeBound, changeBound)
	require.NoError(w.t, os.WriteFile(h.config, []byte(settings), 0o600))
	log, err := os.Create(filepath.Join(dir, "log"))
	require.NoError(w.t, err)
	h.log = log
	w.start(h)
	return h
}

// start starts a host's process.
func (w *testbed) start(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = exec.Command(program, "--config", h.config)
	h.process.Stdout, h.process.Stderr = h.log, h.log
	require.NoError(w.t, h.process.Start())
	h.paused = false
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Signal fails if the process has ended; that is not an error here.
	_ = h.process.Process.Signal(s)
	switch s {
	case syscall.SIGSTOP:
		h.paused = true
	case syscall.SIGCONT:
		h.paused = false
	}
}

// restart ends a host's process by a signal and starts another, after any restart in
// progress.
func (w *testbed) restart(h *host, s syscall.Signal) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	w.replaceProcess(h, s)
}

// replaceProcess ends a host's process by a signal and starts the next. The caller
// holds h.restarting.
func (w *testbed) replaceProcess(h *host, s syscall.Signal) {
	h.signal(syscall.SIGCONT)
	h.signal(s)
	// The exit code is not checked: the process may have been killed.
	_ = h.process.Wait()
	w.start(h)
}

// awaitRestart waits for a restart in progress. A readiness check alone isn't enough: a
// host that is leaving answers until its process has ended.
func (h *host) awaitRestart() {
	h.restarting.Lock()
	defer h.restarting.Unlock()
}

func (w *testbed) isReady(h *host) bool {
	client := http.Client{Timeout: 100 * time.Millisecond}
	response, err := client.Get("http://" + h.ready.String() + platformtest.PathReady)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (w *testbed) waitReady() {
	for _, h := range w.hosts {
		h.awaitRestart()
		require.Eventually(w.t, func() bool { return w.isReady(h) }, 10*time.Second, 20*time.Millisecond, "host %s", h.address)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastDisturbance = time.Now()
}

// rerouteInterval is the mean number of packets of a flow after which the fabric
// selects a host anew.
const rerouteInterval = 4

// hostSelector returns a function that selects the host for each packet of a flow. Most
// packets go to the host of the one before. Any host may get one, also one that is down,
// because the fabric learns of changes late.
func (w *testbed) hostSelector(random *rand.Rand) func() netip.AddrPort {
	at := random.IntN(len(w.hosts))
	return func() netip.AddrPort {
		if random.IntN(rerouteInterval) == 0 {
			at = random.IntN(len(w.hosts))
		}
		return w.hosts[at].address
	}
}

// injectFault injects one random fault or change. Earlier ones may still be in effect.
func (w *testbed) injectFault(random *rand.Rand) {
	h := w.hosts[random.IntN(len(w.hosts))]
	kinds := []struct {
		name string
		make func()
	}{
		{"kill", func() { w.kill(h) }},
		{"terminate", func() { w.restartGracefully(h) }},
		{"pause", func() { h.signal(syscall.SIGSTOP) }},
		{"resume", func() { h.signal(syscall.SIGCONT) }},
		{"target crash", func() { w.crashTarget(random) }},
		{"target drain", func() { w.drainTarget(random) }},
		{"target start", w.startTarget},
		{"configuration", w.configure},
		{"store unavailable", func() { w.store.SetFault(storeStatus(http.StatusServiceUnavailable)) }},
		{"store rate limit", func() { w.store.SetFault(storeStatus(http.StatusTooManyRequests)) }},
		{"store reset", func() { w.store.SetFault(storeReset) }},
		{"store slow", func() { w.store.SetFault(storeSlow) }},
		{"store recovery", func() { w.store.SetFault(nil) }},
		{"store history lost", w.store.DropHistory},
	}
	kind := kinds[random.IntN(len(kinds))]
	w.faults[kind.name]++
	w.markDisturbed()
	kind.make()
	w.markDisturbed()
}

func (w *testbed) markDisturbed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastDisturbance = time.Now()
}

// kill kills a host's process and starts another. If a restart is in progress, kill
// only sends SIGKILL, because the process may be paused and would never end by itself;
// the restart then starts the next process.
func (w *testbed) kill(h *host) {
	if !h.restarting.TryLock() {
		h.signal(syscall.SIGKILL)
		return
	}
	defer h.restarting.Unlock()
	w.replaceProcess(h, syscall.SIGKILL)
}

// restartGracefully restarts a host by SIGTERM, as an upgrade does. It returns at once,
// so that other faults may occur during the restart.
func (w *testbed) restartGracefully(h *host) {
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		w.restart(h, syscall.SIGTERM)
		w.markDisturbed()
	}()
}

// crashTarget crashes a random target and deletes its entry in the store, unless only
// two targets take new flows.
func (w *testbed) crashTarget(random *rand.Rand) {
	w.withRandomTarget(random, func(t *target) {
		t.crashed = true
		t.Stop()
		w.store.Delete("servers", t.Name)
	})
}

// drainTarget marks a random target as draining, unless only two take new flows. It
// goes on serving its open flows.
func (w *testbed) drainTarget(random *rand.Rand) {
	w.withRandomTarget(random, func(t *target) {
		t.leaving = true
		w.store.Put("servers", t.Name, t.Entry("taller", "a", "draining"))
	})
}

// withRandomTarget calls what with a random target that takes new flows, if at least
// two others do.
func (w *testbed) withRandomTarget(random *rand.Rand, what func(*target)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var open []*target
	for _, t := range w.targets {
		if !t.crashed && !t.leaving {
			open = append(open, t)
		}
	}
	if len(open) > 2 {
		what(open[random.IntN(len(open))])
	}
}

// noneCrashed reports whether none of the named targets has crashed.
func (w *testbed) noneCrashed(names []string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		if t.crashed && slices.Contains(names, t.Name) {
			return false
		}
	}
	return true
}

// undisturbedSince reports whether began is more than settleTime after the last
// disturbance.
func (w *testbed) undisturbedSince(began time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return began.Sub(w.lastDisturbance) > settleTime
}

func (w *testbed) nextRequest() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests++
	return fmt.Sprintf("request-%d", w.requests)
}

func (w *testbed) clientAddress() netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextIP++
	return w.address(3, w.nextIP, packetPort)
}

// clearFaults ends store faults and pauses, and waits until every host is ready.
func (w *testbed) clearFaults() {
	w.store.SetFault(nil)
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
	}
	w.waitReady()
}

func (w *testbed) close() {
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		_ = h.process.Wait()
		_ = h.log.Close()
	}
	for _, t := range w.targets {
		t.Stop()
	}
}

func (w *testbed) reportViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *testbed) drainViolations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	problems := w.violations
	w.violations = nil
	return problems
}

// requireNoViolations requires that clients were served and no guarantee was violated.
// After a violation it saves the hosts' logs in the temporary directory.
func (w *testbed) requireNoViolations() {
	problems := w.drainViolations()
	if len(problems) > 0 {
		w.saveLogs()
	}
	require.Empty(w.t, problems, "seed %d", w.seed)
	require.NotZero(w.t, w.served.Load(), "no request was answered")
}

func (w *testbed) saveLogs() {
	for i, h := range w.hosts {
		data, err := os.ReadFile(h.log.Name())
		if err != nil {
			w.t.Logf("log not kept: %v", err)
			continue
		}
		name := filepath.Join(os.TempDir(), fmt.Sprintf("soak-seed-%d-host-%d.log", w.seed, i+1))
		if err := os.WriteFile(name, data, 0o600); err != nil {
			w.t.Logf("log not kept: %v", err)
		}
	}
}

func (w *testbed) summary() string {
	return fmt.Sprintf("%d requests answered, %d openings or flows failed, faults %v", w.served.Load(), w.failed.Load(), w.faults)
}

func storeStatus(status int) platformtest.Fault {
	return func(answer http.ResponseWriter, _ *http.Request) bool {
		answer.WriteHeader(status)
		return true
	}
}

func storeReset(answer http.ResponseWriter, _ *http.Request) bool {
	conn, _, err := answer.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
	return true
}

// storeSlow delays a call by 60 ms. The store handles calls one at a time, so they
// also wait for each other.
func storeSlow(http.ResponseWriter, *http.Request) bool {
	time.Sleep(60 * time.Millisecond)
	return false
}
