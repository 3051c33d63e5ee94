package edge

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/follow"
	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/platform"
)

const (
	// drainsWait is how long after its start a host waits for the list of drained failure
	// domains. A store that answers for the other kinds answers for this one, too.
	drainsWait = time.Second
	// drainWatchShare sets how long a poll of the store waits for a change, as a share of the
	// bound. What is known is up to two waits old when another host asks for it.
	drainWatchShare = 0.2
	// maxQueuedNotices bounds the notices of other hosts that wait for the control loop.
	maxQueuedNotices = 8
)

// followDrains adds the follower of the drained failure domains, if the settings have a
// bound for them.
func (c *control) followDrains() {
	bound := c.edge.settings.DomainDrainBound
	if bound == 0 {
		return
	}
	settings := follow.Settings{Kind: platform.KindDomainDrains, Watch: share(bound, drainWatchShare)}
	c.drains = c.follow(settings, bound, &c.edge.drainsReadAt, c.applyDrains)
}

// applyDrains updates the drained failure domains and reports whether any changed. The
// readers of this host are told at once.
func (c *control) applyDrains(now time.Duration, change follow.Change) bool {
	changed := false
	if !change.Restored {
		for _, object := range change.Objects {
			domain := state.DomainID(object.Key)
			if object.Deleted {
				changed = c.directory.RemoveDrain(now, domain) || changed
			} else {
				changed = c.directory.Drain(domain) || changed
			}
			c.logDrain(now, domain, !object.Deleted, object.Revision)
		}
	}
	if change.AllKeys != nil {
		changed = c.directory.ListDrains(now, domainSet(change.AllKeys), change.Restored) || changed
	}
	if changed {
		c.tellReaders(platform.KindDomainDrains)
	}
	return changed
}

func domainSet(keys map[string]bool) map[state.DomainID]bool {
	domains := make(map[state.DomainID]bool, len(keys))
	for key := range keys {
		domains[state.DomainID(key)] = true
	}
	return domains
}

// logDrain logs what was read of the drain of a domain.
func (c *control) logDrain(now time.Duration, domain state.DomainID, drained bool, revision uint64) {
	message := "failure domain drained; its targets get no new flow"
	if !drained {
		message = "drain of a failure domain removed"
	}
	c.edge.log.Warn(message, "domain", string(domain), "revision", revision, "era", uint64(c.drains.Era()),
		"peer", c.activePeer.String(), "since_last_read", (now - c.drains.CompleteAsOf()).String())
}

// setUnreachable records whether no target that this host may use is in its reach.
func (e *Edge) setUnreachable(unreachable bool) {
	if e.unreachable.Swap(unreachable) == unreachable {
		return
	}
	message := "targets in reach again; ready"
	if unreachable {
		message = "no target in reach outside of drained failure domains; not ready"
	}
	e.log.Warn(message, "drained", len(e.drainedDomains()))
}

// tellReaders tells the hosts that read from this one that objects of a kind have changed.
func (c *control) tellReaders(kind string) {
	notice := peerapi.Notice{Version: peerapi.Version, From: c.edge.settings.Control, Kind: kind}
	c.broadcaster.send("change", c.peerServer.pollerHosts(), func(host netip.AddrPort) error {
		return c.peerClient.Notify(c.ctx, host, notice)
	})
}

// receiveNotice takes the notice of another host that objects have changed. It never blocks.
func (c *control) receiveNotice(notice peerapi.Notice) {
	select {
	case c.notices <- notice:
	default:
		c.edge.log.Warn("notice of another host dropped; too many wait", "peer", notice.From.String(), "kind", notice.Kind)
	}
}

// handleNotice reads the objects that another host says have changed.
func (c *control) handleNotice(now time.Duration, notice peerapi.Notice) {
	c.edge.metrics.notices.Inc()
	for _, f := range c.followers {
		if f.kind == notice.Kind {
			f.follower.PollPeerSoon(now)
		}
	}
}
