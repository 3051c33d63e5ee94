package edge

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
)

// askToStepAside asks the host that this one reads from, which sees whether others are
// overloaded, too; a host that others ask decides for itself. Without either nobody can
// tell, and the host stays.
func (c *control) askToStepAside(now time.Duration) {
	if now < time.Duration(c.edge.asideUntil.Load()) {
		return
	}
	query := peerapi.AsideQuery{Version: peerapi.Version, From: c.edge.settings.Control}
	peer, found := c.chooser.Pick(now, c.config.Failing())
	if c.reads.serving(now) || !found {
		c.stepAside(c.reads.StepAside(query), netip.AddrPort{})
		return
	}
	err := c.pool.Submit(func() {
		reply, err := c.peers.StepAside(c.ctx, peer, query)
		if err != nil {
			c.edge.log.Warn("overloaded, but nobody told whether others are", "peer", peer.String(), "error", err.Error())
			return
		}
		c.stepAside(reply, peer)
	})
	if err != nil {
		c.edge.log.Error("question not asked", "peer", peer.String(), "error", err.Error())
	}
}

// stepAside has the host be not ready for a while, if it may.
func (c *control) stepAside(reply peerapi.AsideReply, peer netip.AddrPort) {
	if reply.For == 0 {
		c.edge.log.Warn("overloaded, stays: too many other hosts are overloaded, or it is too early to tell", "peer", peer.String())
		return
	}
	c.edge.asideUntil.Store(int64(c.edge.now() + reply.For))
	c.edge.metrics.aside.Inc()
	c.edge.log.Warn("overloaded, steps aside", "for", reply.For.String(), "peer", peer.String())
}
