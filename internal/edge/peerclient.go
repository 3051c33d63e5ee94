package edge

import (
	"net/netip"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// readFromPeer sends a request to another host and queues its result.
func (c *control) readFromPeer(peer netip.AddrPort, request readRequest) {
	query := peerapi.Query{Version: peerapi.Version, From: c.edge.settings.Control, Reads: []peerapi.Read{peerRead(request)},
		Domain: c.edge.settings.Domain, Hosts: c.peerServer.reportHosts()}
	result := readResult{readRequest: request, requestedAt: bootTime(), peer: peer}
	began := time.Now()
	reply, err := c.peerClient.Read(c.ctx, peer, query)
	c.edge.metrics.observePeerCall(err, time.Since(began))
	result.redirect, result.err = reply.Instead, err
	if len(reply.Answers) == 1 {
		result.reply = reply.Answers[0]
		c.peerServer.handleHosts(reply.Hosts)
	}
	result.outcome = peerOutcome(result)
	c.results <- result
}

// peerRead converts a request to the form in which other hosts receive it.
func peerRead(r readRequest) peerapi.Read {
	return peerapi.Read{
		Kind:  r.resource.kind,
		List:  r.call.Verb == objects.VerbList,
		Key:   strings.TrimPrefix(r.call.From, r.resource.kind+"/"),
		After: r.call.After,
		Era:   r.call.Era,
	}
}

// peerOutcome returns the outcome of a store call that corresponds to another host's
// reply.
func peerOutcome(r readResult) objects.Outcome {
	switch {
	case r.err != nil:
		return objects.Outcome{Result: objects.ResultUnknown}
	case !r.reply.Known:
		return objects.Outcome{Result: objects.ResultAbsent, Era: r.reply.Era}
	}
	return objects.Outcome{Page: r.reply.Page, Era: r.reply.Era}
}

// handlePeerResult passes another host's reply to the follower and puts changes in
// force.
func (c *control) handlePeerResult(now time.Duration, r readResult) {
	change, behind := r.resource.follower.HandlePeerOutcome(now, r.call, r.outcome, r.reply.Age)
	c.recordPeerResult(now, r, behind)
	// Set before the changes are applied: entries that are missing from them may have
	// expired while their targets still run.
	c.directory.ExtendGrace(now + r.reply.Doubt)
	c.apply(now, r, change)
}

// recordPeerResult records whether another host's reply was useful, and logs when that
// changes.
func (c *control) recordPeerResult(now time.Duration, r readResult, behind bool) {
	switch {
	case !behind:
		c.acceptPeer(now, r)
	case r.reply.TooLarge:
		// Only this reply is too large; later changes can be read from the host.
		c.chooser.ReportSuccess(now, r.peer, r.redirect)
	case r.outcome.Result == objects.ResultOK:
		c.chooser.ReportStale(now, r.peer)
		c.rejectPeer(r, "its data is too old")
	case r.err != nil:
		c.chooser.ReportFailure(now, r.peer)
		c.rejectPeer(r, r.err.Error())
	default:
		c.chooser.ReportFailure(now, r.peer)
		c.rejectPeer(r, "it does not have the data")
	}
}

// acceptPeer keeps reading from the host, or from the one that it redirects to.
func (c *control) acceptPeer(now time.Duration, r readResult) {
	c.chooser.ReportSuccess(now, r.peer, r.redirect)
	if r.redirect.IsValid() {
		c.peerClient.Disconnect(r.peer)
	}
	if r.peer == c.activePeer {
		return
	}
	c.activePeer = r.peer
	c.edge.log.Info("changes are asked of another host", "peer", r.peer.String(), "kind", r.resource.kind, "age", r.reply.Age.String())
}

// rejectPeer logs that another host's reply was not useful, once for each time that it
// stops being the active peer.
func (c *control) rejectPeer(r readResult, reason string) {
	if c.activePeer != r.peer {
		return
	}
	c.activePeer = netip.AddrPort{}
	c.edge.log.Warn("another host was of no use", "peer", r.peer.String(), "kind", r.resource.kind, "reason", reason, "age", r.reply.Age.String())
}
