package control

import (
	"encoding/gob"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/stretchr/testify/require"
)

// Limits of the design.
const (
	maxBytesPerSecond = 4 << 10
	// maxGrowthFactor is how much a cost may grow from 3 hosts to 100 and still count
	// as constant.
	maxGrowthFactor = 1.5
)

var measureReleases = flag.Int("measure.releases", 5, "releases in each measurement")

// byteMeter counts the gob-encoded bytes of the messages between hosts.
type byteMeter struct {
	bytes    int
	messages int
	encoders map[state.HostID]*gob.Encoder
	received map[state.HostID]int
}

func newByteMeter() *byteMeter {
	for _, r := range Messages() {
		gob.Register(r.Message)
	}
	return &byteMeter{
		encoders: make(map[state.HostID]*gob.Encoder),
		received: make(map[state.HostID]int),
	}
}

func (m *byteMeter) Write(data []byte) (int, error) {
	m.bytes += len(data)
	return len(data), nil
}

func (m *byteMeter) count(from, to state.Host, msg message.Message) {
	before := m.bytes
	encoder := m.encoders[from.ID]
	if encoder == nil {
		encoder = gob.NewEncoder(io.Writer(m))
		m.encoders[from.ID] = encoder
	}
	m.messages++
	if err := encoder.Encode(&msg); err != nil {
		panic(err)
	}
	m.received[to.ID] += m.bytes - before
}

// busiest returns the number of bytes received by the host that received most.
func (m *byteMeter) busiest() int { return slices.Max(slices.Collect(maps.Values(m.received))) }

// costs are the measured costs of making releases.
type costs struct {
	callsPerRelease  float64
	idleCallsPerHour float64
	bytesPerHost     float64
	messagesPerHost  float64
	busiestBytes     float64
	delays           *hdrhistogram.Histogram
}

// measureCosts makes releases, one every ten seconds, and returns their costs.
func measureCosts(t *testing.T, seed uint64, sizes ...int) costs {
	w := newRunningSimulation(t, seed, release.VariantCorrect, sizes...)
	w.runFor(20 * time.Second)
	callsBefore := w.platform.callCount
	w.runFor(60 * time.Second)
	result := costs{
		idleCallsPerHour: float64(w.platform.callCount-callsBefore) * 60,
		delays:           hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	meter := newByteMeter()
	w.network.observe = func(from *node, act Send) { meter.count(from.host, act.To, act.Message) }
	start, calls := w.now, w.platform.callCount
	for index := range *measureReleases {
		version := state.ReleaseVersion(index + 2)
		w.platform.submit(addTargetNote(fmt.Sprintf("note-%d", version), version-1))
		require.True(t, w.runUntil(10*time.Second, func() bool { return w.inForceEverywhere(version) }))
		for _, at := range w.invariants.inForceAt[version] {
			require.NoError(t, result.delays.RecordValue(at.Sub(w.invariants.acceptedAt[version]).Microseconds()))
		}
		w.runFor(epoch.Add(w.now.Sub(epoch).Truncate(10 * time.Second)).Add(10 * time.Second).Sub(w.now))
	}
	seconds := w.now.Sub(start).Seconds()
	idleCalls := result.idleCallsPerHour / 3600 * seconds
	result.callsPerRelease = (float64(w.platform.callCount-calls) - idleCalls) / float64(*measureReleases)
	result.bytesPerHost = float64(meter.bytes) / seconds / float64(len(w.nodes))
	result.messagesPerHost = float64(meter.messages) / seconds / float64(len(w.nodes))
	if len(w.nodes) > 1 {
		result.busiestBytes = float64(meter.busiest()) / seconds
	}
	require.Empty(t, w.invariants.violations)
	return result
}

func (f costs) log(t *testing.T, name string) {
	t.Logf("%s: platform calls per release %.1f, per idle hour %.0f; a host sends %.0f B/s in %.1f messages/s, the busiest receives %.0f B/s; "+
		"acceptance to in force on a host, ms: p50 %.1f p90 %.1f p99 %.1f max %.1f of %d",
		name, f.callsPerRelease, f.idleCallsPerHour, f.bytesPerHost, f.messagesPerHost, f.busiestBytes,
		float64(f.delays.ValueAtQuantile(50))/1000, float64(f.delays.ValueAtQuantile(90))/1000,
		float64(f.delays.ValueAtQuantile(99))/1000, float64(f.delays.Max())/1000, f.delays.TotalCount())
}

// TestCostStaysFlat checks that the cost of a release does not grow with the number
// of hosts in a domain.
func TestCostStaysFlat(t *testing.T) {
	small := measureCosts(t, 1, 3)
	small.log(t, "3 hosts")
	for _, size := range []int{7, 30, 100} {
		if testing.Short() && size > 30 {
			continue
		}
		f := measureCosts(t, 1, size)
		f.log(t, fmt.Sprintf("%d hosts", size))
		require.Less(t, f.callsPerRelease, small.callsPerRelease*maxGrowthFactor, "%d hosts", size)
		require.Less(t, f.bytesPerHost, float64(maxBytesPerSecond), "%d hosts", size)
		require.Less(t, time.Duration(f.delays.Max())*time.Microsecond, maxCatchUpTime, "%d hosts", size)
	}
}

// TestCostInManyDomains checks the bytes sent per host in the deployed sizes and in
// eight domains.
func TestCostInManyDomains(t *testing.T) {
	for _, sizes := range [][]int{{3, 2, 2}, {2, 2, 2, 1}, {3, 3, 3, 3, 3, 3, 3, 3}} {
		f := measureCosts(t, 1, sizes...)
		f.log(t, fmt.Sprint(sizes))
		require.Less(t, f.bytesPerHost, float64(maxBytesPerSecond))
	}
}
