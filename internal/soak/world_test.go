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

// Sizes and times of a world.
const (
	hosts     = 4
	targets   = 4
	clients   = 8
	packets   = 7000
	readyPort = 7001

	requestTimeout = 4 * time.Second
	// settleTime is how long after the last fault everything works again: a poll,
	// a check and a start.
	settleTime = 2500 * time.Millisecond
	// bound is the bound on changes in the hosts' settings.
	bound = time.Second
)

// service is the address that clients call.
var service = netip.MustParseAddrPort("198.18.0.1:8443")

// world is a platform with hosts of the product, targets and clients.
type world struct {
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

	mu       sync.Mutex
	problems []string
	ran      map[string]int
	opened   map[netip.AddrPort][]string
	targets  []*target
	nextID   int
	requests int
	nextIP   byte
	version  int
	calmFrom time.Time
}

// target is a target with its state.
type target struct {
	*platformtest.Target
	ended   bool
	leaving bool
}

// host is one guavaedge process with its state.
type host struct {
	address netip.AddrPort
	ready   netip.AddrPort
	config  string
	log     *os.File

	// restarting is held from the end of a process to the start of the next.
	restarting sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	paused  bool
}

// address returns one of the world's addresses on the loopback network.
func (w *world) address(group, number byte, port uint16) netip.AddrPort {
	return w.network.Address(group, number, port)
}

func newWorld(t *testing.T, seed uint64) *world {
	network, err := platformtest.ClaimLoopback()
	require.NoError(t, err)
	w := &world{
		t: t, seed: seed, network: network, store: platformtest.NewStore(), faults: make(map[string]int),
		ran: make(map[string]int), opened: make(map[netip.AddrPort][]string),
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
	t.Cleanup(w.end)
	w.waitReady()
	return w
}

func (w *world) configure() {
	w.version++
	w.store.PutConfig(w.version, "taller", service)
}

func (w *world) startTarget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	name := fmt.Sprintf("i-2a%08x", w.nextID)
	started, err := platformtest.NewTarget(w.address(2, byte(w.nextID), 0).Addr(), name, packets)
	require.NoError(w.t, err)
	started.OnRequest = w.judgeRun
	started.OnSYN = func(client netip.AddrPort) { w.noteOpened(client, name) }
	go started.Serve()
	w.targets = append(w.targets, &target{Target: started})
	w.store.Put("servers", name, started.Entry("taller", "a", "ready"))
}

// noteOpened remembers the targets that took an opening; the client's answer tells
// which of them has the flow.
func (w *world) noteOpened(client netip.AddrPort, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opened[client] = append(w.opened[client], name)
}

// holders returns the targets that may hold a flow: its target, once an answer has
// named it, or else all that took its opening.
func (w *world) holders(target string, client netip.AddrPort) []string {
	if target != "" {
		return []string{target}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.opened[client])
}

// control is where the host of a number answers others.
func (w *world) control(number byte) netip.AddrPort { return w.address(1, number, readyPort+2) }

func (w *world) newHost(number byte) *host {
	h := &host{address: w.address(1, number, packets), ready: w.address(1, number, readyPort)}
	dir := w.t.TempDir()
	h.config = filepath.Join(dir, "edge.toml")
	settings := fmt.Sprintf("[host]\nid = \"edge-%d\"\ndomain = \"a\"\npackets = %q\nready = %q\nmetrics = %q\ncontrol = %q\n[peers]\nseeds = [%q, %q]\n[store]\naddress = %q\n[bounds]\nchange = %q\ndrain = %q\nleave = \"3s\"\n",
		number, h.address, h.ready, w.address(1, number, readyPort+1), w.control(number), w.control(1), w.control(2), strings.TrimPrefix(w.server.URL, "http://"), bound, bound)
	require.NoError(w.t, os.WriteFile(h.config, []byte(settings), 0o600))
	log, err := os.Create(filepath.Join(dir, "log"))
	require.NoError(w.t, err)
	h.log = log
	w.start(h)
	return h
}

// start runs a host's process; it is ended by its own id.
func (w *world) start(h *host) {
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
	// A process that has ended already takes no signal.
	_ = h.process.Process.Signal(s)
	switch s {
	case syscall.SIGSTOP:
		h.paused = true
	case syscall.SIGCONT:
		h.paused = false
	}
}

// restart ends a host's process by a signal and starts another; it waits for a
// restart that goes on.
func (w *world) restart(h *host, s syscall.Signal) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	w.replace(h, s)
}

// replace ends a host's process and starts the next, while restarting is held.
func (w *world) replace(h *host, s syscall.Signal) {
	h.signal(syscall.SIGCONT)
	h.signal(s)
	// The exit code of a process that was killed says nothing.
	_ = h.process.Wait()
	w.start(h)
}

// awaitRestart waits while a restart goes on: a host that is leaving answers until
// its process has ended.
func (h *host) awaitRestart() {
	h.restarting.Lock()
	defer h.restarting.Unlock()
}

func (w *world) isReady(h *host) bool {
	client := http.Client{Timeout: 100 * time.Millisecond}
	response, err := client.Get("http://" + h.ready.String() + platformtest.PathReady)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (w *world) waitReady() {
	for _, h := range w.hosts {
		h.awaitRestart()
		require.Eventually(w.t, func() bool { return w.isReady(h) }, 10*time.Second, 20*time.Millisecond, "host %s", h.address)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calmFrom = time.Now()
}

// moveShare is how many packets of a flow find the fabric's rotation changed: one
// in so many.
const moveShare = 4

// rotation returns the host for each packet of a flow. Most go where the one
// before went; the fabric's view of the hosts lags, so any host may get one.
func (w *world) rotation(random *rand.Rand) func() netip.AddrPort {
	at := random.IntN(len(w.hosts))
	return func() netip.AddrPort {
		if random.IntN(moveShare) == 0 {
			at = random.IntN(len(w.hosts))
		}
		return w.hosts[at].address
	}
}

// fault makes one random fault or change; they overlap.
func (w *world) fault(random *rand.Rand) {
	h := w.hosts[random.IntN(len(w.hosts))]
	kinds := []struct {
		name string
		make func()
	}{
		{"kill", func() { w.kill(h) }},
		{"terminate", func() { w.restartGently(h) }},
		{"pause", func() { h.signal(syscall.SIGSTOP) }},
		{"go on", func() { h.signal(syscall.SIGCONT) }},
		{"target ends", func() { w.endTarget(random) }},
		{"target leaves", func() { w.drainTarget(random) }},
		{"target starts", w.startTarget},
		{"configuration", w.configure},
		{"store busy", func() { w.store.SetFault(storeStatus(http.StatusServiceUnavailable)) }},
		{"store limits", func() { w.store.SetFault(storeStatus(http.StatusTooManyRequests)) }},
		{"store resets", func() { w.store.SetFault(storeReset) }},
		{"store slow", func() { w.store.SetFault(storeSlow) }},
		{"store well", func() { w.store.SetFault(nil) }},
		{"history lost", w.store.CompactHistory},
	}
	kind := kinds[random.IntN(len(kinds))]
	w.faults[kind.name]++
	w.disturb()
	kind.make()
	w.disturb()
}

func (w *world) disturb() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calmFrom = time.Now()
}

// kill kills a host's process. One that is being restarted is started again by
// that; it may be paused, and never end by itself.
func (w *world) kill(h *host) {
	if !h.restarting.TryLock() {
		h.signal(syscall.SIGKILL)
		return
	}
	defer h.restarting.Unlock()
	w.replace(h, syscall.SIGKILL)
}

// restartGently restarts a host as an upgrade does, while other faults go on.
func (w *world) restartGently(h *host) {
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		w.restart(h, syscall.SIGTERM)
		w.disturb()
	}()
}

// endTarget crashes a target unless it is one of the last two.
func (w *world) endTarget(random *rand.Rand) {
	w.withTarget(random, func(t *target) {
		t.ended = true
		t.Stop()
		w.store.Delete("servers", t.Name)
	})
}

// drainTarget has a target leave; it goes on serving its flows.
func (w *world) drainTarget(random *rand.Rand) {
	w.withTarget(random, func(t *target) {
		t.leaving = true
		w.store.Put("servers", t.Name, t.Entry("taller", "a", "draining"))
	})
}

// withTarget runs what on a random target that takes flows, if two more do.
func (w *world) withTarget(random *rand.Rand, what func(*target)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var open []*target
	for _, t := range w.targets {
		if !t.ended && !t.leaving {
			open = append(open, t)
		}
	}
	if len(open) > 2 {
		what(open[random.IntN(len(open))])
	}
}

// allLive tells whether none of these targets has ended.
func (w *world) allLive(names []string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		if t.ended && slices.Contains(names, t.Name) {
			return false
		}
	}
	return true
}

// calmSince tells that nothing was disturbed since a time, and for long enough
// before.
func (w *world) calmSince(began time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return began.Sub(w.calmFrom) > settleTime
}

func (w *world) nextRequest() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests++
	return fmt.Sprintf("request-%d", w.requests)
}

func (w *world) clientAddress() netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextIP++
	return w.address(3, w.nextIP, packets)
}

// heal ends all faults and waits until every host takes traffic.
func (w *world) heal() {
	w.store.SetFault(nil)
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
	}
	w.waitReady()
}

func (w *world) end() {
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

func (w *world) problem(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (w *world) takeProblems() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	problems := w.problems
	w.problems = nil
	return problems
}

// requireWhole checks that no promise was broken, and keeps the hosts' logs of a
// seed that broke one.
func (w *world) requireWhole() {
	problems := w.takeProblems()
	if len(problems) > 0 {
		w.keepLogs()
	}
	require.Empty(w.t, problems, "seed %d", w.seed)
	require.NotZero(w.t, w.served.Load(), "nothing was served")
}

func (w *world) keepLogs() {
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

func (w *world) summary() string {
	return fmt.Sprintf("%d served, %d ended early, faults %v", w.served.Load(), w.failed.Load(), w.faults)
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

// storeSlow answers late; calls wait for each other.
func storeSlow(http.ResponseWriter, *http.Request) bool {
	time.Sleep(60 * time.Millisecond)
	return false
}
