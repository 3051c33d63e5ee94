package edge

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
)

// requestStepAside asks for permission to step aside, which means to report not ready
// for a while. The host that this one reads from decides, since it knows how many
// others are overloaded; a host that others read from decides itself. A host with
// neither gets no permission and stays ready.
func (c *control) requestStepAside(now time.Duration) {
	if now < time.Duration(c.edge.notReadyUntil.Load()) {
		return
	}
	query := peerapi.StepAsideQuery{Version: peerapi.Version, From: c.edge.settings.Control}
	peer, found := c.chooser.Pick(now, c.config.Failing())
	if c.peerServer.serving(now) || !found {
		c.applyStepAside(c.peerServer.StepAside(query), netip.AddrPort{})
		return
	}
	err := c.start(func() {
		reply, err := c.peerClient.StepAside(c.ctx, peer, query)
		if err != nil {
			c.edge.log.Warn("overloaded; staying ready because the request to step aside failed", "peer", peer.String(), "error", err.Error())
			return
		}
		c.applyStepAside(reply, peer)
	})
	if err != nil {
		c.edge.log.Error("request to step aside not sent", "peer", peer.String(), "error", err.Error())
	}
}

// applyStepAside reports not ready for the time that reply grants, if any. peer is the
// host that decided, the zero address for this one.
func (c *control) applyStepAside(reply peerapi.StepAsideReply, peer netip.AddrPort) {
	if reply.For == 0 {
		c.edge.log.Warn("overloaded; staying ready because too many other hosts are overloaded or it is too early to decide", "peer", peer.String())
		return
	}
	c.edge.notReadyUntil.Store(int64(c.edge.now() + reply.For))
	c.edge.metrics.stepsAside.Inc()
	c.edge.log.Warn("overloaded; stepping aside", "for", reply.For.String(), "peer", peer.String())
}
