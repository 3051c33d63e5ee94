// Package soak injects random faults into real guavaedge processes and their
// environment, and checks the guarantees from what clients and targets observe:
// answers match their requests, a request runs at most once, and a flow is reset
// only if its target has ended.
package soak

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/platform/platformtest"
)

var (
	seeds     = flag.Int("soak.seeds", 0, "number of fresh seeds to run instead of the regression seeds")
	firstSeed = flag.Uint64("soak.first", 1, "first fresh seed")
	length    = flag.Duration("soak.length", 5*time.Second, "time during which faults are injected, per seed")
)

// program is the path of the guavaedge binary under test.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "guavaedge")
	build := exec.Command("go", "build", "-o", program, "../../cmd/guavaedge")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// regressionSeeds are seeds that have failed before; CONTRIBUTING.md lists the
// causes.
var regressionSeeds = []uint64{2, 4, 27, 34}

// seedsToRun returns the fresh seeds that the flags ask for, or the regression seeds.
func seedsToRun() []uint64 {
	if *seeds == 0 {
		return regressionSeeds
	}
	var fresh []uint64
	for i := range *seeds {
		fresh = append(fresh, *firstSeed+uint64(i))
	}
	return fresh
}

// Random faults of hosts, targets, store and configuration must not violate the
// guarantees of the package comment.
func TestSoak(t *testing.T) {
	for _, seed := range seedsToRun() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newTestbed(t, seed)
			w.run(*length)
			w.clearFaults()
			w.requireNoViolations()
			t.Logf("seed %d: %s", seed, w.summary())
		})
	}
}

// The checks must report a wrong target, a wrong request and a second run. A check
// that never fails would hide a violation in TestSoak.
func TestChecksReportViolations(t *testing.T) {
	w := newTestbed(t, 1)
	w.checkAnswer("i-1", "r1", "i-2 r1")
	w.checkAnswer("i-1", "r1", "i-1 r2")
	w.checkRunsOnce("r1")
	w.checkRunsOnce("r1")
	require.Len(t, w.drainViolations(), 3)
}

// run runs clients and injects faults for length, then clears the faults and lets the
// clients go on for settleTime.
func (w *testbed) run(length time.Duration) {
	random := rand.New(rand.NewPCG(w.seed, 0))
	done := make(chan struct{})
	for range clients {
		w.running.Add(1)
		go w.client(random.Uint64(), done)
	}
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		time.Sleep(time.Duration(50+random.IntN(250)) * time.Millisecond)
		w.injectFault(random)
	}
	w.clearFaults()
	time.Sleep(settleTime)
	close(done)
	w.running.Wait()
}

// client opens one flow after the other until done is closed.
func (w *testbed) client(seed uint64, done chan struct{}) {
	defer w.running.Done()
	random := rand.New(rand.NewPCG(w.seed, seed))
	client, err := platformtest.NewClient(w.clientAddress())
	if err != nil {
		w.reportViolation("client could not open its socket: %v", err)
		return
	}
	defer client.Close()
	for {
		select {
		case <-done:
			return
		default:
			w.exerciseFlow(client, random)
		}
	}
}

// exerciseFlow opens a flow and sends up to 12 requests; it stops at the first request
// that fails.
func (w *testbed) exerciseFlow(client *platformtest.Client, random *rand.Rand) {
	began := time.Now()
	flow, err := client.Open(w.hostSelector(random), service, requestTimeout)
	if err != nil {
		w.checkFailure("open", nil, began, err)
		return
	}
	target := ""
	for range 1 + random.IntN(12) {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		request := w.nextRequest()
		began = time.Now()
		answer, err := flow.Request(request, requestTimeout)
		if err != nil {
			w.checkFailure(request, w.possibleTargets(target, flow.Here()), began, err)
			return
		}
		w.served.Add(1)
		if target == "" {
			target, _, _ = strings.Cut(answer, " ")
		}
		w.checkAnswer(target, request, answer)
	}
}

// checkAnswer checks that an answer is complete, belongs to the request and comes from
// the flow's target.
func (w *testbed) checkAnswer(target, request, answer string) {
	if answer != target+" "+request {
		w.reportViolation("request %s at %s got the answer %q", request, target, answer)
	}
}

// checkRunsOnce records a run of a request and checks that it is the only one.
func (w *testbed) checkRunsOnce(request string) {
	w.mu.Lock()
	w.runCounts[request]++
	times := w.runCounts[request]
	w.mu.Unlock()
	if times > 1 {
		w.reportViolation("request %s ran %d times", request, times)
	}
}

// checkFailure checks a failed request or opening. A reset of a flow is allowed only if
// a target that may hold it has crashed. A refused opening or any other failure, such as
// a timeout, is allowed only within settleTime of a disturbance. holders is nil for an
// opening.
func (w *testbed) checkFailure(what string, holders []string, began time.Time, err error) {
	w.failed.Add(1)
	switch {
	case !errors.Is(err, platformtest.ErrReset):
		if w.undisturbedSince(began) {
			w.reportViolation("%s at %v failed without a recent disturbance: %v", what, holders, err)
		}
	case holders != nil && w.noneCrashed(holders):
		w.reportViolation("%s: the flow was reset although none of %v crashed", what, holders)
	case holders == nil && w.undisturbedSince(began):
		w.reportViolation("an opening was refused without a recent disturbance")
	}
}
