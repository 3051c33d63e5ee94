// Package scenarios runs end-to-end scenarios with the real binaries on loopback. Each
// scenario is a testscript file in testdata. Scripts wait for a state by polling, never
// by sleeping.
//
// Commands in addition to those of testscript:
//
//	cluster HOSTS DOMAINS      start the platform and entry hosts a1, b1, ... a2, ...
//	start NAME                 restart an entry host or "platform"
//	terminate NAME...          SIGTERM to all, then wait for exit code 0 of all
//	crash NAME                 SIGKILL, then wait until the process has ended
//	freeze NAME, thaw NAME     SIGSTOP, SIGCONT
//	fault JSON                 inject a fault into the platform; "clear" ends all faults
//	poll REGEXP COMMAND...     run the command until its output matches
//	background NAME BIN ARGS   start a program in the background under a name
//	finish NAME CODE           wait for a process and check its exit code
//	load FLOWS EXCHANGES       write the files of a load with one service: see cmdLoad
//	mixed FLOWS EXCHANGES      the same for both forwarding modes and protocols: see cmdMixed
package scenarios

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// programDir is the directory of the programs that TestMain builds.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "guavawharf-scenarios")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	programDir = dir
	return m.Run()
}

// clusterKey is the key of the cluster in a script's environment values.
type clusterKey struct{}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cluster":    cmdCluster,
			"start":      cmdStart,
			"terminate":  cmdTerminate,
			"crash":      cmdCrash,
			"freeze":     cmdFreeze,
			"thaw":       cmdThaw,
			"fault":      cmdFault,
			"poll":       cmdPoll,
			"background": cmdBackground,
			"finish":     cmdFinish,
			"load":       cmdLoad,
			"mixed":      cmdMixed,
		},
	})
}

func setup(env *testscript.Env) error {
	c := newCluster(env.WorkDir)
	env.Values[clusterKey{}] = c
	env.Setenv("PATH", programDir+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Setenv("PLATFORM", "http://"+c.address(1, portPlatform).String())
	env.Setenv("CALLERS", c.address(1, portReturn).String())
	for i := range 20 {
		env.Setenv(fmt.Sprintf("UPSTREAM%d", i), c.address(i+100, portPackets).String())
	}
	testing, ok := env.T().(interface{ Failed() bool })
	failed := func() bool { return !ok || testing.Failed() }
	env.Defer(func() { c.stopAll(env.T(), failed) })
	return nil
}

func clusterOf(ts *testscript.TestScript) *cluster {
	return ts.Value(clusterKey{}).(*cluster)
}

func parseInt(ts *testscript.TestScript, text string) int {
	value, err := strconv.Atoi(text)
	ts.Check(err)
	return value
}

func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	c.assignHosts(parseInt(ts, args[0]), parseInt(ts, args[1]))
	ts.Check(c.writeFiles())
	ts.Check(c.startPlatform())
	for _, host := range c.hosts {
		name := strings.ToUpper(string(host.ID))
		ts.Setenv(name, host.Control.String())
		ts.Setenv(name+"_PACKETS", host.Packets.String())
		ts.Check(c.startHost(string(host.ID)))
	}
}

func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	if args[0] == "platform" {
		ts.Check(c.startPlatform())
		return
	}
	ts.Check(c.startHost(args[0]))
}

func cmdTerminate(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	for _, name := range args {
		ts.Check(c.signal(name, syscall.SIGTERM))
	}
	for _, name := range args {
		code, err := c.wait(name)
		ts.Check(err)
		if code != 0 {
			ts.Fatalf("%s ended with exit code %d", name, code)
		}
	}
}

func cmdCrash(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	ts.Check(c.signal(args[0], syscall.SIGKILL))
	_, err := c.wait(args[0])
	ts.Check(err)
}

func cmdFreeze(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(clusterOf(ts).signal(name, syscall.SIGSTOP))
	}
}

func cmdThaw(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(clusterOf(ts).signal(name, syscall.SIGCONT))
	}
}

func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	method, body := http.MethodPost, strings.Join(args, " ")
	if body == "clear" {
		method = http.MethodDelete
	}
	request, err := http.NewRequest(method, ts.Getenv("PLATFORM")+"/v1/faults", strings.NewReader(body))
	ts.Check(err)
	answer, err := http.DefaultClient.Do(request)
	ts.Check(err)
	_ = answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest {
		ts.Fatalf("the platform answered %s", answer.Status)
	}
}

// Interval and time limit of polling. The limit only ends scripts that would never pass.
const (
	pollPause = 100 * time.Millisecond
	pollLimit = 60 * time.Second
)

func cmdPoll(ts *testscript.TestScript, _ bool, args []string) {
	wanted := regexp.MustCompile(args[0])
	var output []byte
	for deadline := time.Now().Add(pollLimit); time.Now().Before(deadline); time.Sleep(pollPause) {
		output = combinedOutput(ts, args[1:])
		if wanted.Match(output) {
			return
		}
	}
	ts.Fatalf("%v never printed %q; last:\n%s", args[1:], args[0], output)
}

func combinedOutput(ts *testscript.TestScript, args []string) []byte {
	var output bytes.Buffer
	command := exec.Command(filepath.Join(programDir, args[0]), args[1:]...)
	command.Dir = ts.MkAbs(".")
	command.Stdout = &output
	command.Stderr = &output
	_ = command.Run()
	return output.Bytes()
}

func cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(clusterOf(ts).startProcess(args[0], args[1], args[2:]...))
}

func cmdFinish(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	code, err := c.wait(args[0])
	ts.Check(err)
	if code != parseInt(ts, args[1]) {
		ts.Fatalf("%s ended with exit code %d:\n%s", args[0], code, logTail(c.processes[args[0]].log.String()))
	}
}
