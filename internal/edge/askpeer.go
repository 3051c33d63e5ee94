package edge

import (
	"net/netip"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// askPeer asks another host what calls read.
func (c *control) askPeer(peer netip.AddrPort, questions []question) {
	query := peerapi.Query{Version: peerapi.Version, From: c.edge.settings.Control}
	for _, asked := range questions {
		query.Reads = append(query.Reads, readOf(asked))
	}
	asked := bootTime()
	began := time.Now()
	reply, err := c.peers.Read(c.ctx, peer, query)
	c.edge.metrics.peerCall(err, time.Since(began))
	for i, of := range questions {
		a := answer{question: of, asked: asked, peer: peer, instead: reply.Instead, err: err}
		if len(reply.Answers) == len(questions) {
			a.told = reply.Answers[i]
		}
		a.outcome = told(a)
		c.answers <- a
	}
}

// readOf writes a question the way other hosts are asked.
func readOf(q question) peerapi.Read {
	return peerapi.Read{
		Kind:  q.of.kind,
		List:  q.call.Verb == objects.VerbList,
		Key:   strings.TrimPrefix(q.call.From, q.of.kind+"/"),
		After: q.call.After,
	}
}

// told is the outcome that another host's answer stands for.
func told(a answer) objects.Outcome {
	switch {
	case a.err != nil:
		return objects.Outcome{Result: objects.ResultUnknown}
	case !a.told.Known:
		return objects.Outcome{Result: objects.ResultAbsent}
	}
	return objects.Outcome{Page: a.told.Page}
}

// takePeer hands another host's answer to its follower and puts changes in force.
func (c *control) takePeer(now time.Duration, a answer) {
	change, behind := a.of.follower.HandlePeerOutcome(now, a.call, a.outcome, a.told.Age)
	c.notePeer(now, a, behind)
	// Before what it brought: missing entries may have lapsed.
	c.directory.Doubt(now + a.told.Doubt)
	c.apply(now, a, change)
}

// notePeer remembers whether another host was of use, and logs when that changes.
func (c *control) notePeer(now time.Duration, a answer, behind bool) {
	switch {
	case !behind:
		c.usePeer(now, a)
	case a.told.TooLarge:
		// The host is of use for what comes after this.
		c.chooser.ReportSuccess(now, a.peer, a.instead)
	case a.outcome.Result == objects.ResultOK:
		c.chooser.ReportStale(now, a.peer)
		c.losePeer(a, "what it told is too old")
	case a.err != nil:
		c.chooser.ReportFailure(now, a.peer)
		c.losePeer(a, a.err.Error())
	default:
		c.chooser.ReportFailure(now, a.peer)
		c.losePeer(a, "it can't tell")
	}
}

// usePeer goes on with another host, or with the one that it named.
func (c *control) usePeer(now time.Duration, a answer) {
	c.chooser.ReportSuccess(now, a.peer, a.instead)
	if a.instead.IsValid() {
		c.peers.Forget(a.peer)
	}
	if a.peer == c.lastPeer {
		return
	}
	c.lastPeer = a.peer
	c.edge.log.Info("changes are asked of another host", "peer", a.peer.String(), "kind", a.of.kind, "age", a.told.Age.String())
}

// losePeer logs that another host was of no use, once for each loss.
func (c *control) losePeer(a answer, reason string) {
	if c.lastPeer != a.peer {
		return
	}
	c.lastPeer = netip.AddrPort{}
	c.edge.log.Warn("another host was of no use", "peer", a.peer.String(), "kind", a.of.kind, "reason", reason, "age", a.told.Age.String())
}
