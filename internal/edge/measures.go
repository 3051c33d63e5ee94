package edge

import (
	"io"
	"net/netip"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// measures are the counters of the process.
type measures struct {
	set        *metrics.Set
	verdicts   map[steer.Reason]*metrics.Counter
	badPackets *metrics.Counter
	sendFailed *metrics.Counter
	checks     *metrics.Counter
}

// countedReasons are those with a counter of their own.
var countedReasons = []steer.Reason{
	steer.ReasonEstablished, steer.ReasonPlaced, steer.ReasonOfferedAgain, steer.ReasonNotReady,
	steer.ReasonNoRoute, steer.ReasonNoTarget, steer.ReasonUnknownCookie, steer.ReasonTargetSilent,
	steer.ReasonTargetReborn, steer.ReasonTargetUnknown,
}

func newMeasures() *measures {
	set := metrics.NewSet()
	m := &measures{
		set:        set,
		verdicts:   make(map[steer.Reason]*metrics.Counter),
		badPackets: set.NewCounter("guava_bad_packets_total"),
		checks:     set.NewCounter("guava_target_checks_total"),
		sendFailed: set.NewCounter("guava_datagrams_not_sent_total"),
	}
	for _, reason := range countedReasons {
		m.verdicts[reason] = set.NewCounter(`guava_verdicts_total{reason="` + string(reason) + `"}`)
	}
	return m
}

func (m *measures) verdict(v steer.Verdict) { m.verdicts[v.Reason].Inc() }

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
		"target", v.Basis.Target, "reset", v.Action == steer.ActionReset,
		"age", v.Basis.Age.String(), "waiting", v.Basis.Waiting, "open", v.Basis.Open,
		"cookie", strconv.FormatUint(uint64(cookie), 16), "config", e.configVersion())
}

// logBelief logs a change of what the host believes about a target.
func (e *Edge) logBelief(b steer.Belief) {
	message := "target answers again"
	if b.Dead {
		message = "target does not answer"
	}
	e.log.Warn(message, "target", b.Target, "domain", string(b.Domain),
		"missed", b.Missed, "silence", b.Silence.String())
}
