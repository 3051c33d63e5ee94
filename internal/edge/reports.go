package edge

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/reports"
	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// maxQueuedReports bounds the reports that wait for a goroutine of this host.
const maxQueuedReports = 64

// reporter exchanges reports about targets that are down with other hosts.
type reporter struct {
	edge  *Edge
	relay *reports.Relay
	// own are the targets that this host has found down, received the reports of others,
	// and accepted the reports for the traffic loop.
	own      chan catalog.TargetID
	received chan peerapi.Report
	accepted chan []catalog.TargetID
}

func newReporter(e *Edge) *reporter {
	return &reporter{
		edge: e, relay: reports.NewRelay(),
		own:      make(chan catalog.TargetID, maxQueuedReports),
		received: make(chan peerapi.Report, maxQueuedReports),
		accepted: make(chan []catalog.TargetID, maxQueuedReports),
	}
}

// reportDown has other hosts told of a target that this one found down. It never blocks.
func (p *reporter) reportDown(target catalog.TargetID) {
	select {
	case p.own <- target:
	default:
		p.edge.log.Warn("target not reported to other hosts; too many reports wait")
	}
}

// receive takes a report of another host. It never blocks.
func (p *reporter) receive(report peerapi.Report) {
	select {
	case p.received <- report:
	default:
		p.edge.log.Warn("report of another host dropped; too many wait", "peer", report.From.String(), "targets", len(report.Targets))
	}
}

// passOnOwn passes on the targets that this host found down, all that wait at once.
func (p *reporter) passOnOwn(now time.Duration, first catalog.TargetID, readsFrom netip.AddrPort, readers []netip.AddrPort) {
	targets := []catalog.TargetID{first}
	for len(p.own) > 0 {
		targets = append(targets, <-p.own)
	}
	p.send(p.relay.Accept(now, targets), reports.Recipients(readsFrom, readers, netip.AddrPort{}))
}

// handleReceived gives a report to the traffic loop and passes it on.
func (p *reporter) handleReceived(now time.Duration, report peerapi.Report, readsFrom netip.AddrPort, readers []netip.AddrPort) {
	accepted := p.relay.Accept(now, report.Targets)
	if len(accepted) == 0 {
		return
	}
	p.edge.metrics.reportsAccepted.Add(len(accepted))
	select {
	case p.accepted <- accepted:
		p.edge.traffic.checker.wake()
	default:
		p.edge.log.Warn("report of another host not used; too many wait", "peer", report.From.String(), "targets", len(accepted))
	}
	p.send(accepted, reports.Recipients(readsFrom, readers, report.From))
}

// send sends a report to the recipients in the background.
func (p *reporter) send(targets []catalog.TargetID, recipients []netip.AddrPort) {
	if len(targets) == 0 {
		return
	}
	report := peerapi.Report{Version: peerapi.Version, From: p.edge.settings.Control, Targets: targets}
	control := p.edge.control
	control.broadcaster.send("report", recipients, func(host netip.AddrPort) error {
		return control.peerClient.Report(control.ctx, host, report)
	})
}

// drainAccepted passes the accepted reports to the engine.
func (t *traffic) drainAccepted() {
	for {
		select {
		case targets := <-t.edge.control.reporter.accepted:
			for _, target := range targets {
				t.engine.RecordReport(t.now, target)
			}
		default:
			return
		}
	}
}
