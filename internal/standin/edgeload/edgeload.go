// Package edgeload stands in for the users' platform around running guavaedge hosts:
// its store, targets that write their entries, the fabric's rotation, and clients. It
// puts a load on, makes planned changes meanwhile, and reports what clients and
// targets saw. For development and demonstrations.
package edgeload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavawharf/guavawharf/platform/platformtest"
)

// Host is one entry host under load.
type Host struct {
	Packets netip.AddrPort
	Ready   netip.AddrPort
}

// Settings of a run.
type Settings struct {
	// Store is where the store listens.
	Store netip.AddrPort
	Hosts []Host
	// Targets and Clients are the first addresses of each; the others follow.
	Targets netip.Addr
	Clients netip.AddrPort
	// TargetCount and ClientCount are their numbers.
	TargetCount int
	ClientCount int
	// Length is how long clients send requests.
	Length time.Duration
	Seed   uint64
}

// Names and addresses of what is under load.
const (
	pool   = "demo"
	domain = "a"
	// changed is the version of the configuration with the added route.
	changed = 2
)

var (
	service = netip.MustParseAddrPort("198.18.0.1:8443")
	added   = netip.MustParseAddrPort("198.18.0.2:8443")
)

// Timing of a run.
const (
	// startWait bounds the wait for every host to be ready.
	startWait = 20 * time.Second
	// requestTimeout is when a client gives a request up.
	requestTimeout = 3 * time.Second
	// late is the latency above which a request counts as late.
	late = 250 * time.Millisecond
	// pause is the longest time between two requests of a flow.
	pause = 40 * time.Millisecond
	// requestsOfFlow is the largest number of requests of one flow.
	requestsOfFlow = 20
	// drainFor is how long a leaving target goes on.
	drainFor = 4 * time.Second
)

// run is one run.
type run struct {
	settings Settings
	store    *platformtest.Store
	rotation *rotation

	mu      sync.Mutex
	targets []*platformtest.Target
	// ran counts how often each request ran.
	ran       map[string]int
	requests  int
	report    Report
	latencies *hdrhistogram.Histogram
}

// Bounds of the latencies that are told apart, in microseconds.
const (
	shortest       = 1
	longest        = int64(2 * requestTimeout / time.Microsecond)
	latencyFigures = 3
)

// Run plays the load until its end, or until the context ends.
func Run(ctx context.Context, settings Settings) (Report, error) {
	r := &run{
		settings:  settings,
		store:     platformtest.NewStore(),
		rotation:  newRotation(settings.Hosts),
		ran:       make(map[string]int),
		latencies: hdrhistogram.New(shortest, longest, latencyFigures),
	}
	server := &http.Server{Addr: settings.Store.String(), Handler: r.store, ReadHeaderTimeout: requestTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	defer func() { _ = server.Close() }()
	r.store.PutConfig(1, pool, service)
	defer r.stopTargets()
	for range settings.TargetCount {
		if err := r.addTarget(); err != nil {
			return Report{}, err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.rotation.follow(ctx)
	if err := r.rotation.awaitAll(ctx, failed); err != nil {
		return Report{}, err
	}
	return r.play(ctx)
}

// play runs the clients, and the planned changes beside them.
func (r *run) play(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Length)
	defer cancel()
	random := rand.New(rand.NewPCG(r.settings.Seed, 0))
	var clients sync.WaitGroup
	for i := range r.settings.ClientCount {
		address := netip.AddrPortFrom(nth(r.settings.Clients.Addr(), i), r.settings.Clients.Port())
		client, err := platformtest.NewClient(address)
		if err != nil {
			cancel()
			clients.Wait()
			return Report{}, err
		}
		own := rand.New(rand.NewPCG(r.settings.Seed, random.Uint64()))
		clients.Go(func() {
			defer client.Close()
			for ctx.Err() == nil {
				r.useFlow(client, own)
			}
		})
	}
	err := r.change(ctx)
	clients.Wait()
	return r.result(), err
}

// change makes planned changes: a target leaves, a route is added, a target is added.
func (r *run) change(ctx context.Context) error {
	step := r.settings.Length / changeSteps
	if !sleep(ctx, step) {
		return nil
	}
	leaving := r.targets[0]
	r.store.PutTarget(leaving, pool, domain, true)
	if !sleep(ctx, max(step, drainFor)) {
		return nil
	}
	r.store.DeleteTarget(leaving.Name)
	leaving.Stop()
	r.store.PutConfig(changed, pool, service, added)
	if !sleep(ctx, step) {
		return nil
	}
	return r.addTarget()
}

// changeSteps is the number of parts that a run is divided into by its changes.
const changeSteps = 5

// sleep waits and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// nth returns the address that follows another by a number.
func nth(first netip.Addr, number int) netip.Addr {
	for range number {
		first = first.Next()
	}
	return first
}

// addTarget starts a target with an entry in the store.
func (r *run) addTarget() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := fmt.Sprintf("i-3d%08x", len(r.targets)+1)
	target, err := platformtest.NewTarget(nth(r.settings.Targets, len(r.targets)), name, r.settings.Clients.Port())
	if err != nil {
		return err
	}
	target.OnRequest = r.noteRun
	go target.Serve()
	r.targets = append(r.targets, target)
	r.store.PutTarget(target, pool, domain, false)
	return nil
}

func (r *run) stopTargets() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, target := range r.targets {
		target.Stop()
	}
}

// useFlow opens a flow and sends requests over it.
func (r *run) useFlow(client *platformtest.Client, random *rand.Rand) {
	flow, err := client.Open(r.rotation.choose(random), service, requestTimeout)
	if err != nil {
		r.noteFailure(err)
		return
	}
	target := ""
	for range 1 + random.IntN(requestsOfFlow) {
		time.Sleep(time.Duration(random.Int64N(int64(pause))))
		request := r.nextRequest()
		began := time.Now()
		answer, err := flow.Request(request, requestTimeout)
		if err != nil {
			r.noteFailure(err)
			return
		}
		name, rest, _ := strings.Cut(answer, " ")
		r.noteAnswer(time.Since(began), rest == request && (target == "" || target == name))
		target = name
	}
}

func (r *run) nextRequest() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	return fmt.Sprintf("request %d", r.requests)
}

func (r *run) noteRun(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[request]++
}

func (r *run) noteAnswer(took time.Duration, right bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Served++
	if took > late {
		r.report.Late++
	}
	if !right {
		r.report.WrongAnswers++
	}
	// Latencies beyond the histogram's end count as its end.
	_ = r.latencies.RecordValue(min(longest, max(shortest, took.Microseconds())))
}

func (r *run) noteFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, platformtest.ErrReset) {
		r.report.Resets++
		return
	}
	r.report.Unanswered++
}

func (r *run) result() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Requests = r.requests
	report.MedianMillis = millis(r.latencies.ValueAtQuantile(50))
	report.P99Millis = millis(r.latencies.ValueAtQuantile(99))
	for _, times := range r.ran {
		if times > 1 {
			report.RanTwice++
		}
	}
	return report
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// Report is what clients and targets saw.
type Report struct {
	Requests int
	Served   int
	// Late requests took longer than 250 ms.
	Late int
	// Resets and Unanswered are openings and requests that were reset, or had no answer
	// within 3 s.
	Resets     int
	Unanswered int
	// WrongAnswers belong to another request, or come from another target than the
	// flow's. RanTwice counts requests that ran more than once.
	WrongAnswers int
	RanTwice     int
	MedianMillis float64
	P99Millis    float64
}

// Broken tells that a promise was broken.
func (r Report) Broken() bool { return r.WrongAnswers+r.RanTwice > 0 }

// String writes the report, a line for each figure.
func (r Report) String() string {
	lines := []string{
		fmt.Sprintf("requests       %d", r.Requests),
		fmt.Sprintf("served         %d (%d late, median %.1f ms, p99 %.1f ms)", r.Served, r.Late, r.MedianMillis, r.P99Millis),
		fmt.Sprintf("reset          %d", r.Resets),
		fmt.Sprintf("unanswered     %d", r.Unanswered),
		fmt.Sprintf("wrong answers  %d", r.WrongAnswers),
		fmt.Sprintf("ran twice      %d", r.RanTwice),
	}
	return strings.Join(slices.Concat(lines, []string{""}), "\n")
}
