package edge

import (
	"net/netip"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// readFromPeer asks another host what calls read.
func (c *control) readFromPeer(peer netip.AddrPort, questions []readRequest) {
	query := peerapi.Query{Version: peerapi.Version, From: c.edge.settings.Control}
	for _, asked := range questions {
		query.Reads = append(query.Reads, peerRead(asked))
	}
	asked := bootTime()
	began := time.Now()
	reply, err := c.peers.Read(c.ctx, peer, query)
	c.edge.metrics.observePeerCall(err, time.Since(began))
	for i, of := range questions {
		a := readResult{readRequest: of, requestedAt: asked, peer: peer, redirect: reply.Instead, err: err}
		if len(reply.Answers) == len(questions) {
			a.reply = reply.Answers[i]
		}
		a.outcome = peerOutcome(a)
		c.results <- a
	}
}

// peerRead writes a question the way other hosts are asked.
func peerRead(q readRequest) peerapi.Read {
	return peerapi.Read{
		Kind:  q.resource.kind,
		List:  q.call.Verb == objects.VerbList,
		Key:   strings.TrimPrefix(q.call.From, q.resource.kind+"/"),
		After: q.call.After,
	}
}

// peerOutcome is the outcome that another host's answer stands for.
func peerOutcome(a readResult) objects.Outcome {
	switch {
	case a.err != nil:
		return objects.Outcome{Result: objects.ResultUnknown}
	case !a.reply.Known:
		return objects.Outcome{Result: objects.ResultAbsent}
	}
	return objects.Outcome{Page: a.reply.Page}
}

// handlePeerResult hands another host's answer to its follower and puts changes in force.
func (c *control) handlePeerResult(now time.Duration, a readResult) {
	change, behind := a.resource.follower.PeerAnswer(now, a.call, a.outcome, a.reply.Age)
	c.recordPeerResult(now, a, behind)
	// Before what it brought: missing entries may have lapsed.
	c.directory.Doubt(now + a.reply.Doubt)
	c.apply(now, a, change)
}

// recordPeerResult remembers whether another host was of use, and logs when that changes.
func (c *control) recordPeerResult(now time.Duration, a readResult, behind bool) {
	switch {
	case !behind:
		c.acceptPeer(now, a)
	case a.reply.TooLarge:
		// The host is of use for what comes after this.
		c.chooser.Useful(now, a.peer, a.redirect)
	case a.outcome.Result == objects.ResultOK:
		c.chooser.Stale(now, a.peer)
		c.rejectPeer(a, "what it told is too old")
	case a.err != nil:
		c.chooser.Useless(now, a.peer)
		c.rejectPeer(a, a.err.Error())
	default:
		c.chooser.Useless(now, a.peer)
		c.rejectPeer(a, "it can't tell")
	}
}

// acceptPeer goes on with another host, or with the one that it named.
func (c *control) acceptPeer(now time.Duration, a readResult) {
	c.chooser.Useful(now, a.peer, a.redirect)
	if a.redirect.IsValid() {
		c.peers.Forget(a.peer)
	}
	if a.peer == c.activePeer {
		return
	}
	c.activePeer = a.peer
	c.edge.log.Info("changes are asked of another host", "peer", a.peer.String(), "kind", a.resource.kind, "age", a.reply.Age.String())
}

// rejectPeer logs that another host was of no use, once for each loss.
func (c *control) rejectPeer(a readResult, reason string) {
	if c.activePeer != a.peer {
		return
	}
	c.activePeer = netip.AddrPort{}
	c.edge.log.Warn("another host was of no use", "peer", a.peer.String(), "kind", a.resource.kind, "reason", reason, "age", a.reply.Age.String())
}
