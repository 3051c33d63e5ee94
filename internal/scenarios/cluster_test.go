package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/rogpeppe/go-internal/testscript"
)

// Ports of entry hosts and stand-ins. All entry hosts use the same ports, each on a
// loopback address of its own.
const (
	portPackets  = 6080
	portRelay    = 6081
	portControl  = 6082
	portMetrics  = 6083
	portPlatform = 8500
	portReturn   = 9000
)

// clusters counts the clusters of this test process; the count selects their subnets.
var clusters atomic.Uint32

// cluster holds the processes and hosts of one scenario.
type cluster struct {
	dir       string
	subnet    uint32
	processes map[string]*process
	hosts     []objects.ListedHost
}

// process is a started program, its output, and a channel closed when it has ended.
type process struct {
	command *exec.Cmd
	log     *bytes.Buffer
	done    chan struct{}
}

func newCluster(dir string) *cluster {
	return &cluster{
		dir:       dir,
		subnet:    clusters.Add(1),
		processes: make(map[string]*process),
	}
}

// address returns a loopback address that no other cluster uses.
func (c *cluster) address(number, port int) netip.AddrPort {
	second := byte(2 + os.Getpid()%250)
	ip := netip.AddrFrom4([4]byte{127, second, byte(c.subnet), byte(number)})
	return netip.AddrPortFrom(ip, uint16(port))
}

// assignHosts assigns hosts to the failure domains a, b, c and so on, in turn.
func (c *cluster) assignHosts(hosts, domains int) {
	for i := range hosts {
		domain := string(rune('a' + i%domains))
		host := state.Host{
			ID:      state.HostID(fmt.Sprintf("%s%d", domain, i/domains+1)),
			Domain:  state.DomainID(domain),
			Packets: c.address(i+10, portPackets),
			Relay:   c.address(i+10, portRelay),
			Control: c.address(i+10, portControl),
		}
		c.hosts = append(c.hosts, objects.ListedHost{Host: host})
	}
}

// writeFiles writes the platform's host list and the settings of all hosts.
func (c *cluster) writeFiles() error {
	list, err := json.Marshal(objects.HostList{Hosts: c.hosts})
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.dir, "hosts.json"), list, 0o600); err != nil {
		return err
	}
	for i := range c.hosts {
		name := filepath.Join(c.dir, string(c.hosts[i].ID)+".toml")
		if err := os.WriteFile(name, c.settings(i), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) settings(index int) []byte {
	var text bytes.Buffer
	host := c.hosts[index].Host
	fmt.Fprintf(&text, "[host]\n")
	writeHost(&text, host)
	fmt.Fprintf(&text, "metrics = %q\n", netip.AddrPortFrom(host.Control.Addr(), portMetrics))
	fmt.Fprintf(&text, "[fabric]\nreturn = %q\n", c.address(1, portReturn))
	fmt.Fprintf(&text, "[platform]\nurl = \"http://%s\"\n", c.address(1, portPlatform))
	fmt.Fprintf(&text, "[leave]\ndeadline = \"20s\"\n")
	for i, seed := range c.hosts {
		if i != index {
			fmt.Fprintf(&text, "[[membership.seeds]]\n")
			writeHost(&text, seed.Host)
		}
	}
	return text.Bytes()
}

func writeHost(text *bytes.Buffer, host state.Host) {
	fmt.Fprintf(text, "id = %q\ndomain = %q\n", host.ID, host.Domain)
	fmt.Fprintf(text, "packets = %q\nrelay = %q\ncontrol = %q\n", host.Packets, host.Relay, host.Control)
}

// startPlatform starts the stand-in for the platform.
func (c *cluster) startPlatform() error {
	listen := c.address(1, portPlatform).String()
	return c.startProcess("platform", "guava-standin", "platform", "--listen", listen, "--hosts", filepath.Join(c.dir, "hosts.json"))
}

// startHost starts the entry host with this id.
func (c *cluster) startHost(id string) error {
	return c.startProcess(id, "guavad", "--config", filepath.Join(c.dir, id+".toml"))
}

func (c *cluster) startProcess(name, binary string, args ...string) error {
	if old := c.processes[name]; old != nil && !old.ended() {
		return fmt.Errorf("%s is already running", name)
	}
	log := &bytes.Buffer{}
	command := exec.Command(filepath.Join(programDir, binary), args...)
	command.Dir = c.dir
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return err
	}
	started := &process{command: command, log: log, done: make(chan struct{})}
	c.processes[name] = started
	go func() {
		_ = command.Wait()
		close(started.done)
	}()
	return nil
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to a running process.
func (c *cluster) signal(name string, signal syscall.Signal) error {
	running := c.processes[name]
	if running == nil || running.ended() {
		return fmt.Errorf("%s is not running", name)
	}
	return running.command.Process.Signal(signal)
}

// wait waits for a process to end and returns its exit code, or -1 if a signal ended
// it.
func (c *cluster) wait(name string) (int, error) {
	running := c.processes[name]
	if running == nil {
		return 0, fmt.Errorf("%s was never started", name)
	}
	<-running.done
	return running.command.ProcessState.ExitCode(), nil
}

// stopAll kills all processes that still run, and prints the logs if the scenario
// failed or the tests are verbose.
func (c *cluster) stopAll(t testscript.T, failed func() bool) {
	for _, running := range c.processes {
		if !running.ended() {
			_ = running.command.Process.Kill()
		}
		<-running.done
	}
	if !failed() && !testing.Verbose() {
		return
	}
	for name, ended := range c.processes {
		t.Log("log of " + name + ":\n" + logTail(ended.log.String()))
	}
}

// maxLogTail is the longest printed tail of a log, in bytes.
const maxLogTail = 4000

func logTail(text string) string {
	if len(text) > maxLogTail {
		return "...\n" + text[len(text)-maxLogTail:]
	}
	return text
}
