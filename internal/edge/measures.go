package edge

import (
	"io"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/guavawharf/guavawharf/internal/transport/limitlog"
)

// measures are the counters of the process.
type measures struct {
	set        *metrics.Set
	verdicts   map[steer.Reason]*metrics.Counter
	badPackets *metrics.Counter
	sendFailed *metrics.Counter
	checks     *metrics.Counter
	aside      *metrics.Counter
	// opened is the time from an opening to the client's next packet, decided that
	// to a decision about an opening, both in seconds.
	opened  *metrics.PrometheusHistogram
	decided *metrics.PrometheusHistogram
}

// Upper ends of the histograms' buckets in seconds.
var (
	openedBuckets  = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2}
	decidedBuckets = []float64{1e-6, 3e-6, 1e-5, 3e-5, 1e-4, 3e-4, 1e-3, 1e-2}
	changeBuckets  = []float64{0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5, 10, 20}
	callBuckets    = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2}
)

// countedReasons are those with a counter of their own.
var countedReasons = []steer.Reason{
	steer.ReasonEstablished, steer.ReasonPlaced, steer.ReasonRetried, steer.ReasonAlreadyOpen, steer.ReasonNotReady,
	steer.ReasonNoRoute, steer.ReasonNoTarget, steer.ReasonUnknownCookie, steer.ReasonTargetSilent,
	steer.ReasonTargetRestarted, steer.ReasonTargetUnknown,
}

func newMeasures() *measures {
	set := metrics.NewSet()
	m := &measures{
		set:        set,
		verdicts:   make(map[steer.Reason]*metrics.Counter),
		badPackets: set.NewCounter("guava_bad_packets_total"),
		checks:     set.NewCounter("guava_target_checks_total"),
		aside:      set.NewCounter("guava_steps_aside_total"),
		sendFailed: set.NewCounter("guava_datagrams_not_sent_total"),
		opened:     set.NewPrometheusHistogramExt("guava_opening_seconds", openedBuckets),
		decided:    set.NewPrometheusHistogramExt("guava_decision_seconds", decidedBuckets),
	}
	for _, reason := range countedReasons {
		m.verdicts[reason] = set.NewCounter(`guava_verdicts_total{reason="` + string(reason) + `"}`)
	}
	return m
}

// verdict counts a decision.
func (m *measures) verdict(v steer.Verdict) {
	m.verdicts[v.Reason].Inc()
	if v.HandshakeTime > 0 {
		m.opened.Update(v.HandshakeTime.Seconds())
	}
}

// storeCall counts how long a call took, and whether it was answered.
func (m *measures) storeCall(kind string, outcome objects.Outcome, took time.Duration) {
	name := `guava_store_call_seconds{kind="` + kind + `",result="` + outcome.Result.String() + `"}`
	m.set.GetOrCreatePrometheusHistogramExt(name, callBuckets).Update(took.Seconds())
}

// peerCall counts how long a question to another host took, and whether an answer
// came.
func (m *measures) peerCall(err error, took time.Duration) {
	name := `guava_peer_call_seconds{answered="` + strconv.FormatBool(err == nil) + `"}`
	m.set.GetOrCreatePrometheusHistogramExt(name, callBuckets).Update(took.Seconds())
}

// inForce counts the longest that a change may have taken to be in force here.
func (m *measures) inForce(kind string, took time.Duration) {
	m.set.GetOrCreatePrometheusHistogramExt(`guava_change_seconds{kind="`+kind+`"}`, changeBuckets).Update(took.Seconds())
}

// question counts a question of another host.
func (m *measures) question(answered bool) {
	m.set.GetOrCreateCounter(`guava_peer_questions_total{answered="` + strconv.FormatBool(answered) + `"}`).Inc()
}

// watchAges serves how old what is known of each kind is.
func (m *measures) watchAges(e *Edge) {
	m.set.NewGauge("guava_config_age_seconds", func() float64 { return e.age(&e.configRead).Seconds() })
	m.set.NewGauge("guava_targets_age_seconds", func() float64 { return e.age(&e.targetsRead).Seconds() })
	m.set.NewGauge("guava_peers_asking", func() float64 { return float64(e.control.reads.askersCount()) })
	m.set.NewGauge("guava_config_version", func() float64 { return float64(e.configVersion()) })
}

// watchLog serves how many log lines were not written.
func (m *measures) watchLog(losses func() limitlog.Losses) {
	m.set.NewGauge(`guava_log_lines_dropped_total{cause="budget"}`, func() float64 { return float64(losses().Budget) })
	m.set.NewGauge(`guava_log_lines_dropped_total{cause="reader"}`, func() float64 { return float64(losses().Reader) })
}

// age is the time since a read.
func (e *Edge) age(readAt *atomic.Int64) time.Duration {
	return e.now() - time.Duration(readAt.Load())
}

// Add counts a call to the store; it implements store.Counters. Names of the
// metrics' format hold no hyphen.
func (m *measures) Add(name string, delta int64) {
	name = strings.ReplaceAll(name, "-", "_")
	m.set.GetOrCreateCounter("guava_" + name + "_total").AddInt64(delta)
}

func (m *measures) write(w io.Writer) { m.set.WritePrometheus(w) }

// noteBadPacket counts and logs a packet that can't be read.
func (e *Edge) noteBadPacket(from netip.AddrPort, size int, err error) {
	e.metrics.badPackets.Inc()
	reason := "longer than the largest packet"
	if err != nil {
		reason = err.Error()
	}
	e.log.Warn("packet dropped", "from", from.String(), "size", size, "reason", reason)
}

// logVerdict logs a decision about a flow other than to forward it as before. The
// cookie is that of the packet which asked for it, as hexadecimal digits.
func (e *Edge) logVerdict(v steer.Verdict, client, service netip.AddrPort, cookie catalog.Cookie) {
	e.log.Info("flow "+string(v.Reason), "client", client.String(), "service", service.String(),
		"target", v.Evidence.Target, "reset", v.Action == steer.ActionReset,
		"age", v.Evidence.Age.String(), "waiting", v.Evidence.Waiting, "open", v.Evidence.Open,
		"cookie", strconv.FormatUint(uint64(cookie), 16), "config", e.configVersion())
}

// logBelief logs a change of what the host believes about a target.
func (e *Edge) logBelief(b steer.HealthChange) {
	message := "target answers again"
	if b.Down {
		message = "target does not answer"
	}
	e.log.Warn(message, "target", b.Target, "domain", string(b.Domain),
		"missed", b.Missed, "silence", b.Silence.String())
}
