package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a drill.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// bounds are the figures of a site that the system's settings and the rules name.
type bounds struct {
	configApply, drain, evacuate, grace, maxFlow time.Duration
	overage, slack                               float64
}

// shiftedBounds are those of shifted/huaman-retratos-now-grown.toml.
var shiftedBounds = bounds{configApply: 5 * time.Second, drain: 5 * time.Second, evacuate: 5 * time.Second,
	grace: 6 * time.Second, maxFlow: time.Minute, overage: 1.5, slack: 5}

// Ports, the same on every machine.
const (
	portPackets = 8172
	portReady   = 8167
	portControl = 8166
	portMetrics = 9464
	portTarget  = 8367
	portStore   = 8169
)

// scene is a small deployment on loopback: the store, the fabric, hosts, targets, clients.
type scene struct {
	trouble bool
	dir     string
	net     byte
	bounds  bounds
	store   *store
	fabric  *fabric
	hosts   []*hostProcess
	targets []*targetProcess
	clients []*client
	start   time.Time
	ctx     context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	sights []sight
	// ends holds when each target's process ended, by its name.
	ends map[string][]time.Time
	done sync.WaitGroup
}

// newScene claims a loopback network, 127.N.0.0/16, and starts the store.
func newScene(recordPath string, b bounds) (*scene, error) {
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", bounds: b, start: time.Now(), ends: map[string][]time.Time{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	var err error
	if s.file, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	s.record = bufio.NewWriter(s.file)
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for s.net = 30; s.net < 250; s.net++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:6999", s.net))
		if err == nil {
			go func() { <-s.ctx.Done(); _ = listener.Close() }()
			break
		}
	}
	s.store = newStore(1200*time.Millisecond, s.log)
	s.fabric = &fabric{log: s.log}
	listener, err := net.Listen("tcp", s.at(200, 7, portStore).String())
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, s.store) }()
	return s, nil
}

// at returns an address of the network.
func (s *scene) at(group, host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.net, group, host}), port)
}

// log writes a line into the record, with the time since the start.
func (s *scene) log(text string) { s.logAt(time.Now(), text) }

func (s *scene) logAt(at time.Time, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f s  %s\n", at.Sub(s.start).Seconds(), text)
}

// say writes a line into the record and on standard output.
func (s *scene) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.log(text)
	fmt.Println(text)
}

// hostProcess is a running guavaedge.
type hostProcess struct {
	node     *node
	settings string
	scene    *scene
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
}

// addHost starts a host in a zone.
func (s *scene) addHost(zone string) *hostProcess {
	number := byte(len(s.hosts) + 1)
	h := &hostProcess{scene: s, node: &node{name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone,
		packets: s.at(1, number, portPackets), ready: s.at(1, number, portReady)}}
	h.settings = filepath.Join(s.dir, h.node.name+".toml")
	seeds := []string{}
	for i := byte(1); i <= 3; i++ {
		seeds = append(seeds, `"`+s.at(1, i, portControl).String()+`"`)
	}
	// The text of deploy/edge.toml.tmpl, filled in.
	text := fmt.Sprintf("[host]\nid = %q\ndomain = %q\npackets = %q\nready = %q\nmetrics = %q\ncontrol = %q\n\n[peers]\nseeds = [%s]\n\n[store]\naddress = %q\n\n[slow_start]\n",
		h.node.name, zone, h.node.packets, h.node.ready, s.at(1, number, portMetrics), s.at(1, number, portControl), strings.Join(seeds, ","), s.at(200, 7, portStore))
	if s.bounds.overage > 0 {
		text += fmt.Sprintf("overage = %g\nslack = %g\n", s.bounds.overage, s.bounds.slack)
	}
	text += fmt.Sprintf("\n[bounds]\nchange = \"%dms\"\ndrain = \"%dms\"\n", s.bounds.configApply.Milliseconds(), s.bounds.drain.Milliseconds())
	if s.bounds.evacuate > 0 {
		text += fmt.Sprintf("domain_drain = \"%dms\"\n", s.bounds.evacuate.Milliseconds())
	}
	text += fmt.Sprintf("leave = \"%gs\"\nmax_flow_age = \"%gs\"\n", s.bounds.grace.Seconds(), s.bounds.maxFlow.Seconds())
	if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
		panic(err)
	}
	s.hosts = append(s.hosts, h)
	s.fabric.nodes = append(s.fabric.nodes, h.node)
	h.run()
	return h
}

// run starts the host's process with the command of the deploy file.
func (h *hostProcess) run() {
	h.mu.Lock()
	defer h.mu.Unlock()
	logs, _ := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	h.cmd = exec.Command("target/guavaedge")
	h.cmd.Env = append(os.Environ(), "GUAVAWHARF_SETTINGS="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = logs, logs
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		panic(err)
	}
	h.exited = make(chan struct{})
	h.scene.log("process: " + h.node.name + " starts")
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = logs.Close()
		h.scene.log("process: " + h.node.name + " ended")
		close(exited)
	}(h.cmd, h.exited)
}

// signal sends a signal to the host's process.
func (h *hostProcess) signal(sig syscall.Signal) {
	h.scene.log(fmt.Sprintf("process: %s gets %v", h.node.name, sig))
	_ = h.cmd.Process.Signal(sig)
}

// restart ends the process with a signal, SIGKILL after the grace time, and starts it again.
func (h *hostProcess) restart(sig syscall.Signal) {
	h.signal(sig)
	select {
	case <-h.exited:
	case <-time.After(h.scene.bounds.grace):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	time.Sleep(300 * time.Millisecond)
	h.run()
}

// targetProcess is a running target.
type targetProcess struct {
	scene *scene
	name  string
	args  []string
	cmd   *exec.Cmd
	stdin io.Closer
	read  chan struct{}
}

// addTarget starts a target of a service in a zone.
func (s *scene) addTarget(service, zone string, more ...string) *targetProcess {
	number := byte(len(s.targets) + 1)
	t := &targetProcess{scene: s, name: fmt.Sprintf("i-%02x495c35%02x", 0xd0, number)}
	t.args = append([]string{"target", "--name", t.name, "--service", service, "--zone", zone,
		"--store", "http://" + s.at(200, 7, portStore).String(), "--address", s.at(64, number, portTarget).String(),
		"--client-port", fmt.Sprint(portPackets)}, more...)
	s.targets = append(s.targets, t)
	t.run()
	return t
}

func (t *targetProcess) run() {
	self, _ := os.Executable()
	t.cmd = exec.Command(self, t.args...)
	t.cmd.Stderr = os.Stderr
	t.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	t.stdin, _ = t.cmd.StdinPipe()
	out, _ := t.cmd.StdoutPipe()
	if err := t.cmd.Start(); err != nil {
		panic(err)
	}
	t.scene.log("process: target " + t.name + " starts")
	t.read = make(chan struct{})
	go func(read chan struct{}) {
		defer close(read)
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var seen sight
			if json.Unmarshal(lines.Bytes(), &seen) == nil {
				t.scene.mu.Lock()
				t.scene.sights = append(t.scene.sights, seen)
				t.scene.mu.Unlock()
			}
		}
	}(t.read)
}

// replace drains the target and starts it again at once after its end, under its id.
func (t *targetProcess) replace() {
	t.drain()
	t.run()
}

// drain has the target leave and waits for its end.
func (t *targetProcess) drain() {
	t.scene.log("process: target " + t.name + " gets SIGTERM")
	_ = t.cmd.Process.Signal(syscall.SIGTERM)
	t.awaitEnd()
}

// awaitEnd waits for the end of the target's process.
func (t *targetProcess) awaitEnd() {
	<-t.read
	_ = t.cmd.Wait()
	t.scene.mu.Lock()
	defer t.scene.mu.Unlock()
	t.scene.ends[t.name] = append(t.scene.ends[t.name], time.Now())
}

// kill sends SIGKILL to the target and waits for its end.
func (t *targetProcess) kill() {
	t.scene.log("process: target " + t.name + " gets SIGKILL")
	_ = t.cmd.Process.Kill()
	t.awaitEnd()
}

// addClients adds clients in a zone.
func (s *scene) addClients(zone string, count int) []*client {
	var added []*client
	for range count {
		c, err := newClient(s.at(3, byte(len(s.clients)+1), portPackets), zone, s.fabric)
		if err != nil {
			panic(err)
		}
		s.clients = append(s.clients, c)
		added = append(added, c)
	}
	return added
}

// await waits until all hosts are in rotation.
func (s *scene) await() bool {
	s.fabric.run(s.ctx)
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if s.fabric.allIn() {
			return true
		}
	}
	return false
}

// end stops every process that was started.
func (s *scene) end() {
	s.cancel()
	for _, h := range s.hosts {
		_ = h.cmd.Process.Kill()
	}
	for _, h := range s.hosts {
		<-h.exited
	}
	for _, t := range s.targets {
		_ = t.cmd.Process.Kill()
		<-t.read
		_ = t.cmd.Wait()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs are in", s.dir)
	}
}

// close writes the record.
func (s *scene) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Flush()
	_ = s.file.Close()
}

// route is a route of a configuration.
type route struct {
	name, kind, service string
	address             netip.AddrPort
	objective, timeout  int
	priority            int
}

// putConfig writes a configuration and returns when it was acknowledged.
func (s *scene) putConfig(version int, routes []route, services []map[string]any) time.Time {
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.name, "host": r.address.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", r.address.Port()),
			"route_type": r.kind, "timeout_ms": r.timeout, "slo_ms": r.objective, "priority": r.priority, "service": r.service, "max_attempts": 2})
	}
	return s.store.write("config", "main", map[string]any{"version": version, "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
}
