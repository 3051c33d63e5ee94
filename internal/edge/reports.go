package edge

import (
	"net/netip"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/coordination/reports"
	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Limits of reports about targets that are down.
const (
	// maxReportCalls bounds the calls that pass reports on at the same time: to a host's
	// readers and to the host that it reads from.
	maxReportCalls = 32
	// maxQueuedReports bounds the reports that wait for a goroutine of this host.
	maxQueuedReports = 64
)

// reporter exchanges reports about targets that are down with other hosts.
type reporter struct {
	edge  *Edge
	relay *reports.Relay
	pool  *ants.Pool
	// own are the targets that this host has found down, received the reports of others,
	// and accepted the reports for the traffic loop.
	own      chan catalog.TargetID
	received chan peerapi.Report
	accepted chan []catalog.TargetID
}

func newReporter(e *Edge) (*reporter, error) {
	pool, err := ants.NewPool(maxReportCalls, ants.WithNonblocking(true), ants.WithPanicHandler(repanic))
	if err != nil {
		return nil, oops.Code("report_pool").Wrap(err)
	}
	return &reporter{
		edge: e, relay: reports.NewRelay(), pool: pool,
		own:      make(chan catalog.TargetID, maxQueuedReports),
		received: make(chan peerapi.Report, maxQueuedReports),
		accepted: make(chan []catalog.TargetID, maxQueuedReports),
	}, nil
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
	for _, host := range recipients {
		err := p.pool.Submit(func() {
			if err := p.edge.control.peerClient.Report(p.edge.control.ctx, host, report); err != nil {
				p.edge.log.Info("report not delivered", "peer", host.String(), "targets", len(targets), "error", err.Error())
			}
		})
		if err != nil {
			p.edge.log.Warn("report not sent; too many calls run", "peer", host.String(), "error", err.Error())
		}
	}
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
