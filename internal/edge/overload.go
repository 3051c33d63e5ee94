package edge

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
)

// requestStepAside asks the host that this one reads from, which sees whether others are
// overloaded, too; a host that others ask decides for itself. Without either nobody can
// tell, and the host stays.
func (c *control) requestStepAside(now time.Duration) {
	if now < time.Duration(c.edge.notReadyUntil.Load()) {
		return
	}
	query := peerapi.AsideQuery{Version: peerapi.Version, From: c.edge.settings.Control}
	peer, found := c.chooser.Pick(now, c.config.Failing())
	if c.peerServer.serving(now) || !found {
		c.applyStepAside(c.peerServer.StepAside(query), netip.AddrPort{})
		return
	}
	err := c.pool.Submit(func() {
		reply, err := c.peers.StepAside(c.ctx, peer, query)
		if err != nil {
			c.edge.log.Warn("overloaded, but nobody told whether others are", "peer", peer.String(), "error", err.Error())
			return
		}
		c.applyStepAside(reply, peer)
	})
	if err != nil {
		c.edge.log.Error("question not asked", "peer", peer.String(), "error", err.Error())
	}
}

// applyStepAside has the host be not ready for a while, if it may.
func (c *control) applyStepAside(reply peerapi.AsideReply, peer netip.AddrPort) {
	if reply.For == 0 {
		c.edge.log.Warn("overloaded, stays: too many other hosts are overloaded, or it is too early to tell", "peer", peer.String())
		return
	}
	c.edge.notReadyUntil.Store(int64(c.edge.now() + reply.For))
	c.edge.metrics.stepsAside.Inc()
	c.edge.log.Warn("overloaded, steps aside", "for", reply.For.String(), "peer", peer.String())
}
