package edge

import (
	"io"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavawharf/guavawharf/internal/coordination/outcomes"
	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/guavawharf/guavawharf/internal/transport/limitlog"
)

// hostMetrics are the metrics of the process.
type hostMetrics struct {
	set        *metrics.Set
	verdicts   map[steer.Reason]*metrics.Counter
	badPackets *metrics.Counter
	sendFailed *metrics.Counter
	checks     *metrics.Counter
	stepsAside *metrics.Counter
	// restores counts, for each kind of objects, the restores of the store from a backup.
	restores *metrics.Counter
	// reportsAccepted counts the targets that other hosts reported as down.
	reportsAccepted *metrics.Counter
	// notices counts the notices of other hosts that objects have changed.
	notices *metrics.Counter
	// handshakeTime is the time from a SYN to the client's next packet, decisionTime the
	// time taken to decide about a SYN, both in seconds.
	handshakeTime *metrics.PrometheusHistogram
	decisionTime  *metrics.PrometheusHistogram
}

// Upper bounds of the histograms' buckets in seconds.
var (
	handshakeBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2}
	decisionBuckets  = []float64{1e-6, 3e-6, 1e-5, 3e-5, 1e-4, 3e-4, 1e-3, 1e-2}
	changeBuckets    = []float64{0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5, 10, 20}
	callBuckets      = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2}
)

// countedReasons are the reasons that can occur, each with a counter of its own.
var countedReasons = []steer.Reason{
	steer.ReasonEstablished, steer.ReasonPlaced, steer.ReasonRetried, steer.ReasonAlreadyOpen, steer.ReasonNotReady,
	steer.ReasonNoRoute, steer.ReasonRouteUnknown, steer.ReasonRouteRemoved, steer.ReasonNoTarget, steer.ReasonUnknownCookie, steer.ReasonTargetSilent,
	steer.ReasonTargetRestarted, steer.ReasonTargetUnknown, steer.ReasonOverloaded, steer.ReasonUnreachable, steer.ReasonSlowStart, steer.ReasonDomainDrained,
}

func newHostMetrics() *hostMetrics {
	set := metrics.NewSet()
	m := &hostMetrics{
		set:             set,
		verdicts:        make(map[steer.Reason]*metrics.Counter),
		badPackets:      set.NewCounter("guava_bad_packets_total"),
		checks:          set.NewCounter("guava_target_checks_total"),
		stepsAside:      set.NewCounter("guava_steps_aside_total"),
		restores:        set.NewCounter("guava_store_restores_total"),
		reportsAccepted: set.NewCounter("guava_target_reports_total"),
		notices:         set.NewCounter("guava_change_notices_total"),
		sendFailed:      set.NewCounter("guava_datagrams_not_sent_total"),
		handshakeTime:   set.NewPrometheusHistogramExt("guava_opening_seconds", handshakeBuckets),
		decisionTime:    set.NewPrometheusHistogramExt("guava_decision_seconds", decisionBuckets),
	}
	for _, reason := range countedReasons {
		m.verdicts[reason] = set.NewCounter(`guava_verdicts_total{reason="` + string(reason) + `"}`)
	}
	return m
}

// countVerdict counts a verdict by its reason, and a new flow that was refused in an
// overload by its route, too.
func (m *hostMetrics) countVerdict(v steer.Verdict) {
	m.verdicts[v.Reason].Inc()
	if v.Reason == steer.ReasonOverloaded {
		m.set.GetOrCreateCounter(`guava_flows_refused_total{service="` + v.Service.String() + `"}`).Inc()
	}
	if v.HandshakeTime > 0 {
		m.handshakeTime.Update(v.HandshakeTime.Seconds())
	}
}

// countDecisions counts decisions and those of them that were wrong.
func (m *hostMetrics) countDecisions(counts map[outcomes.Decision]outcomes.Count) {
	for decision, count := range counts {
		label := `{decision="` + string(decision) + `"}`
		m.set.GetOrCreateCounter("guava_decisions_total" + label).AddInt64(int64(count.Made))
		m.set.GetOrCreateCounter("guava_decisions_wrong_total" + label).AddInt64(int64(count.Wrong))
	}
}

// observeStoreCall records the duration of a call to the store by kind and result.
func (m *hostMetrics) observeStoreCall(kind string, outcome objects.Outcome, took time.Duration) {
	name := `guava_store_call_seconds{kind="` + kind + `",result="` + outcome.Result.String() + `"}`
	m.set.GetOrCreatePrometheusHistogramExt(name, callBuckets).Update(took.Seconds())
}

// observePeerCall records the duration of a query to another host, and whether it was
// answered.
func (m *hostMetrics) observePeerCall(err error, took time.Duration) {
	name := `guava_peer_call_seconds{answered="` + strconv.FormatBool(err == nil) + `"}`
	m.set.GetOrCreatePrometheusHistogramExt(name, callBuckets).Update(took.Seconds())
}

// observeChange records an upper limit of the time until a change took effect on this
// host.
func (m *hostMetrics) observeChange(kind string, took time.Duration) {
	m.set.GetOrCreatePrometheusHistogramExt(`guava_change_seconds{kind="`+kind+`"}`, changeBuckets).Update(took.Seconds())
}

// countPeerRead counts a read that another host requested, and whether it was answered.
func (m *hostMetrics) countPeerRead(answered bool) {
	m.set.GetOrCreateCounter(`guava_peer_questions_total{answered="` + strconv.FormatBool(answered) + `"}`).Inc()
}

// registerGauges registers gauges for the age of the data, the number of hosts that read
// from this one and the configuration version.
func (m *hostMetrics) registerGauges(e *Edge) {
	m.set.NewGauge("guava_config_age_seconds", func() float64 { return e.age(&e.configReadAt).Seconds() })
	m.set.NewGauge("guava_targets_age_seconds", func() float64 { return e.age(&e.targetsReadAt).Seconds() })
	m.set.NewGauge("guava_peers_asking", func() float64 { return float64(e.control.peerServer.pollerCount()) })
	m.set.NewGauge("guava_domain_hosts", func() float64 { return float64(e.domainHostCount()) })
	m.set.NewGauge("guava_drained_domains", func() float64 { return float64(len(e.drainedDomains())) })
	m.set.NewGauge("guava_config_version", func() float64 { return float64(e.configVersion()) })
}

// registerLogDropCounts registers gauges for the log lines that were not written.
func (m *hostMetrics) registerLogDropCounts(dropCounts func() limitlog.DropCounts) {
	m.set.NewGauge(`guava_log_lines_dropped_total{cause="budget"}`, func() float64 { return float64(dropCounts().OverBudget) })
	m.set.NewGauge(`guava_log_lines_dropped_total{cause="reader"}`, func() float64 { return float64(dropCounts().SlowReader) })
}

// age returns the time since a read was requested.
func (e *Edge) age(readAt *atomic.Int64) time.Duration {
	return e.now() - time.Duration(readAt.Load())
}

// Add implements store.Counters. Hyphens in names become underscores, since the metrics
// format allows no hyphens.
func (m *hostMetrics) Add(name string, delta int64) {
	name = strings.ReplaceAll(name, "-", "_")
	m.set.GetOrCreateCounter("guava_" + name + "_total").AddInt64(delta)
}

func (m *hostMetrics) write(w io.Writer) { m.set.WritePrometheus(w) }

// recordBadPacket counts and logs a packet that can't be decoded.
func (e *Edge) recordBadPacket(from netip.AddrPort, size int, err error) {
	e.metrics.badPackets.Inc()
	reason := "longer than the maximum packet size"
	if err != nil {
		reason = err.Error()
	}
	e.log.Warn("packet dropped", "from", from.String(), "size", size, "reason", reason)
}

// logVerdict logs any decision other than to forward an established packet. The cookie
// is that of the packet that led to the decision, in hexadecimal; the ages are the times
// since the newest complete reads of the configuration and of the targets were requested.
func (e *Edge) logVerdict(v steer.Verdict, client, service netip.AddrPort, cookie catalog.Cookie) {
	e.log.Info("flow "+string(v.Reason), "client", client.String(), "service", service.String(),
		"target", v.Evidence.Target, "reset", v.Action == steer.ActionReset,
		"age", v.Evidence.Age.String(), "waiting", v.Evidence.Waiting, "open", v.Evidence.Open,
		"cookie", strconv.FormatUint(uint64(cookie), 16), "config", e.configVersion(),
		"config_age", e.age(&e.configReadAt).String(), "targets_age", e.age(&e.targetsReadAt).String())
}

// logOverloadChange logs that new flows to a pool are refused from now on, or no longer.
func (e *Edge) logOverloadChange(change steer.OverloadChange) {
	message := "accepting every new flow again"
	if change.Limiting {
		message = "targets overloaded; refusing new flows"
	}
	e.log.Warn(message, "pool", string(change.Pool),
		"late", change.LateShare, "queue_of_objective", change.QueueShare, "in_flight", change.InFlight,
		"rejected", change.RejectedShare, "answers", change.Answers)
}

// logHealthChange logs that a target is now considered down, or up again.
func (e *Edge) logHealthChange(change steer.HealthChange) {
	message := "target answers again"
	if change.Down {
		message = "target does not answer"
	}
	e.log.Warn(message, "target", change.Target, "domain", string(change.Domain),
		"missed", change.Missed, "silence", change.Silence.String())
}
