// Package edgeload generates load for running guavaedge hosts, for development and
// demonstrations. It simulates their environment: the store, targets with entries in
// the store, the fabric that distributes packets over the ready hosts, and clients.
// During the load it drains and removes a target, adds a route and adds a target. It
// reports the results as clients and targets see them.
package edgeload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavawharf/guavawharf/platform/platformtest"
)

// Host holds the addresses of one entry host: Packets receives clients' packets,
// Ready serves the readiness check over HTTP.
type Host struct {
	Packets netip.AddrPort
	Ready   netip.AddrPort
}

// Settings configures a run.
type Settings struct {
	// Store is the address that the store listens on.
	Store netip.AddrPort
	Hosts []Host
	// FirstTarget and FirstClient are the addresses of the first target and the
	// first client; the others get the IP addresses that follow.
	FirstTarget netip.Addr
	FirstClient netip.AddrPort
	TargetCount int
	ClientCount int
	// Duration is how long clients send requests.
	Duration time.Duration
	Seed     uint64
}

// Names and addresses of the service under load.
const (
	pool   = "demo"
	domain = "a"
	// addedRouteVersion is the version of the configuration that has the second
	// route.
	addedRouteVersion = 2
)

var (
	serviceAddress = netip.MustParseAddrPort("198.18.0.1:8443")
	addedAddress   = netip.MustParseAddrPort("198.18.0.2:8443")
)

// Timing and limits of a run.
const (
	// startTimeout bounds the wait at the start until all hosts are ready.
	startTimeout = 20 * time.Second
	// requestTimeout bounds a client's wait for a flow to open or for an answer.
	requestTimeout = 3 * time.Second
	// lateThreshold is the latency above which a request counts as late.
	lateThreshold = 250 * time.Millisecond
	// maxPause bounds the random pause before each request of a flow.
	maxPause = 40 * time.Millisecond
	// maxRequestsPerFlow bounds the random number of requests of one flow.
	maxRequestsPerFlow = 20
	// drainTime is the minimum time from marking a target as draining until it is
	// stopped.
	drainTime = 4 * time.Second
)

// run holds the state of one run.
type run struct {
	settings Settings
	store    *platformtest.Store
	rotation *rotation

	mu      sync.Mutex
	targets []*platformtest.Target
	// runCounts counts, by request, how often it ran at a target.
	runCounts map[string]int
	requests  int
	report    Report
	latencies *hdrhistogram.Histogram
}

// Range of the latency histogram in microseconds, and its precision.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(2 * requestTimeout / time.Microsecond)
	significantDigits = 3
)

// Run starts the store and the targets, waits until all hosts are ready, and runs
// the load for Settings.Duration or until the context ends.
func Run(ctx context.Context, settings Settings) (Report, error) {
	r := &run{
		settings:  settings,
		store:     platformtest.NewStore(),
		rotation:  newRotation(settings.Hosts),
		runCounts: make(map[string]int),
		latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
	server := &http.Server{Addr: settings.Store.String(), Handler: r.store, ReadHeaderTimeout: requestTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	defer func() { _ = server.Close() }()
	r.store.PutConfig(1, pool, serviceAddress)
	defer r.stopTargets()
	for range settings.TargetCount {
		if err := r.addTarget(); err != nil {
			return Report{}, err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.rotation.probePeriodically(ctx)
	if err := r.rotation.waitAllReady(ctx, failed); err != nil {
		return Report{}, err
	}
	return r.runLoad(ctx)
}

// runLoad runs the clients and, at the same time, the planned changes.
func (r *run) runLoad(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Duration)
	defer cancel()
	random := rand.New(rand.NewPCG(r.settings.Seed, 0))
	var clients sync.WaitGroup
	for i := range r.settings.ClientCount {
		address := netip.AddrPortFrom(nthAddress(r.settings.FirstClient.Addr(), i), r.settings.FirstClient.Port())
		client, err := platformtest.NewClient(address)
		if err != nil {
			cancel()
			clients.Wait()
			return Report{}, err
		}
		clientRandom := rand.New(rand.NewPCG(r.settings.Seed, random.Uint64()))
		clients.Go(func() {
			defer client.Close()
			for ctx.Err() == nil {
				r.runFlow(client, clientRandom)
			}
		})
	}
	err := r.makeChanges(ctx)
	clients.Wait()
	return r.result(), err
}

// makeChanges drains and removes the first target, then adds a route, then adds a
// target.
func (r *run) makeChanges(ctx context.Context) error {
	interval := r.settings.Duration / changeSteps
	if !sleep(ctx, interval) {
		return nil
	}
	leaving := r.targets[0]
	r.store.PutTarget(leaving, pool, domain, true)
	if !sleep(ctx, max(interval, drainTime)) {
		return nil
	}
	r.store.DeleteTarget(leaving.Name)
	leaving.Stop()
	r.store.PutConfig(addedRouteVersion, pool, serviceAddress, addedAddress)
	if !sleep(ctx, interval) {
		return nil
	}
	return r.addTarget()
}

// changeSteps is the number of equal parts of a run; changes are at least one
// part apart.
const changeSteps = 5

// sleep waits for d and reports whether the context was still active by then.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// nthAddress returns the address that is n addresses after the first.
func nthAddress(first netip.Addr, n int) netip.Addr {
	for range n {
		first = first.Next()
	}
	return first
}

// addTarget starts a target and writes its entry to the store.
func (r *run) addTarget() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := fmt.Sprintf("i-3d%08x", len(r.targets)+1)
	target, err := platformtest.NewTarget(nthAddress(r.settings.FirstTarget, len(r.targets)), name, r.settings.FirstClient.Port())
	if err != nil {
		return err
	}
	target.OnRequest = r.recordRun
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

// runFlow opens a flow and sends a random number of requests, one after the other,
// until one fails.
func (r *run) runFlow(client *platformtest.Client, random *rand.Rand) {
	flow, err := client.Open(r.rotation.chooser(random), serviceAddress, requestTimeout)
	if err != nil {
		r.recordFailure(err)
		return
	}
	target := ""
	for range 1 + random.IntN(maxRequestsPerFlow) {
		time.Sleep(time.Duration(random.Int64N(int64(maxPause))))
		request := r.nextRequest()
		start := time.Now()
		answer, err := flow.Request(request, requestTimeout)
		if err != nil {
			r.recordFailure(err)
			return
		}
		name, rest, _ := strings.Cut(answer, " ")
		r.recordAnswer(time.Since(start), rest == request && (target == "" || target == name))
		target = name
	}
}

func (r *run) nextRequest() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	return fmt.Sprintf("request %d", r.requests)
}

func (r *run) recordRun(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runCounts[request]++
}

func (r *run) recordAnswer(latency time.Duration, correct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Served++
	if latency > lateThreshold {
		r.report.Late++
	}
	if !correct {
		r.report.WrongAnswers++
	}
	// Latencies outside the histogram's range are recorded as its nearest bound.
	_ = r.latencies.RecordValue(min(maxLatencyMicros, max(minLatencyMicros, latency.Microseconds())))
}

func (r *run) recordFailure(err error) {
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
	for _, runs := range r.runCounts {
		if runs > 1 {
			report.RanTwice++
		}
	}
	return report
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
