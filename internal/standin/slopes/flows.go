package slopes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
)

const (
	// batchPackets are timed together because of the limited resolution of
	// threadCPUTime.
	batchPackets = 4096
	batches      = 100
	// maxBatchNanos is the largest value of the histograms; longer times are
	// recorded as this.
	maxBatchNanos     = int64(time.Second)
	significantDigits = 3
	sweepBudget       = 1024
)

// timings is a histogram of the mean times per operation of batches, in
// nanoseconds.
type timings struct{ histogram *hdrhistogram.Histogram }

func newTimings() timings {
	return timings{hdrhistogram.New(1, maxBatchNanos, significantDigits)}
}

// batch records the mean time of the n operations that work runs.
func (t timings) batch(n int, work func()) {
	began := threadCPUTime()
	work()
	t.record((threadCPUTime() - began) / time.Duration(n))
}

func (t timings) record(d time.Duration) {
	// The value is within the histogram's range, so there is no error.
	_ = t.histogram.RecordValue(min(max(d.Nanoseconds(), 1), maxBatchNanos))
}

func (t timings) quantile(q float64) float64 { return float64(t.histogram.ValueAtQuantile(q)) }

// measureFlows opens x flows on one host and sends data on random ones.
func measureFlows(r *run, x int) ([]Metric, error) {
	before := liveHeapBytes()
	c := newCluster(1, 2*x, r.seed)
	for n := range x {
		c.handlePacket(0, flowPacket(n, traffic.KindSYN, 1))
		c.handlePacket(0, flowPacket(n, traffic.KindData, 2))
	}
	if c.engines[0].Len() != x {
		return nil, fmt.Errorf("%d records of %d flows", c.engines[0].Len(), x)
	}
	memory := liveHeapBytes() - before
	packets := timeData(r, c, x)
	sweep := timeSweep(c, x)
	return []Metric{
		{"memory", "bytes", memory},
		{"memory_a_flow", "bytes", memory / float64(x)},
		{"data_packet_p50", "ns", packets.quantile(50)},
		{"data_packet_p99", "ns", packets.quantile(99)},
		{"sweep_a_record", "ns", sweep},
	}, nil
}

func timeData(r *run, c *cluster, x int) timings {
	random := rand.New(rand.NewPCG(r.seed, 1))
	t := newTimings()
	packets := make([]traffic.Packet, batchPackets)
	for b := range batches {
		for i := range packets {
			packets[i] = flowPacket(random.IntN(x), traffic.KindData, uint64(b)+3)
		}
		t.batch(batchPackets, func() {
			for i := range packets {
				c.engines[0].Handle(c.now, c.snapshots[0], &packets[i])
			}
		})
	}
	return t
}

// timeSweep returns the time per record, in nanoseconds, of a sweep over all
// records.
func timeSweep(c *cluster, x int) float64 {
	began := threadCPUTime()
	for done := 0; done < x; done += sweepBudget {
		c.engines[0].Sweep(c.now, c.snapshots[0], sweepBudget)
	}
	return float64((threadCPUTime() - began).Nanoseconds()) / float64(x)
}

const (
	// flowSeconds is the virtual time that one point is measured for.
	flowSeconds = 4
	// packetsPerFlow is a SYN, its acknowledgment, a request and a FIN.
	packetsPerFlow = 4
	sweepsPerStep  = 1
	stepsPerSecond = 10
)

// measureNewFlows opens x flows a second at two hosts for flowSeconds and
// measures the CPU time of both together.
func measureNewFlows(r *run, x int) ([]Metric, error) {
	c := newCluster(2, 2*flowSeconds*x, r.seed)
	random := rand.New(rand.NewPCG(r.seed, 2))
	step := time.Second / stepsPerSecond
	began := threadCPUTime()
	next := 0
	for i := range flowSeconds * stepsPerSecond {
		for next < x*(i+1)/stepsPerSecond {
			shortFlow(c, next, random)
			next++
		}
		for n := range c.engines {
			messages := c.engines[n].Sweep(c.now, c.snapshots[n], sweepsPerStep*sweepBudget)
			c.deliverRecordMessages(messages)
		}
		c.now = c.now.Add(step)
	}
	took := threadCPUTime() - began
	if c.notForwarded > 0 {
		return nil, fmt.Errorf("%d packets were not forwarded", c.notForwarded)
	}
	flows := float64(next)
	return []Metric{
		{"core_share_both_hosts", "cores", took.Seconds() / flowSeconds},
		{"time_a_flow", "ns", float64(took.Nanoseconds()) / flows},
		{"relays_a_flow", "packets", float64(c.relays) / flows},
		{"notices_a_flow", "messages", float64(c.recordMessages) / flows},
	}, nil
}

// shortFlow sends the packets of one flow, each to a random host.
func shortFlow(c *cluster, n int, random *rand.Rand) {
	kinds := [packetsPerFlow]traffic.PacketKind{
		traffic.KindSYN, traffic.KindData, traffic.KindData, traffic.KindFIN,
	}
	for i, kind := range kinds {
		c.handlePacket(random.IntN(len(c.engines)), flowPacket(n, kind, uint64(i)+1))
	}
}
