package edge

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/follow"
	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/guavawharf/guavawharf/platform"
)

// recordRestore records that the store was restored from a backup, whose objects may be
// older than what this host knows.
func (c *control) recordRestore(now time.Duration, r readResult, change follow.Change) {
	c.directory.RecordRestore(now)
	c.edge.metrics.restores.Inc()
	c.edge.log.Warn("store restored from a backup; keeping what is newer here", "kind", r.resource.kind,
		"era", uint64(r.resource.follower.Era()), "revision", r.resource.follower.Revision(),
		"objects", len(change.Objects), "config", c.directory.ConfigVersion())
}

// keepNewerConfig replaces a configuration that is older than the one in force by that
// one: an acknowledged configuration stays in force even if the store has lost it, also
// at hosts that read from this one.
func (c *control) keepNewerConfig(read []objects.Object) []objects.Object {
	kept := make([]objects.Object, 0, len(read))
	for _, object := range read {
		version, err := platform.DecodeConfigVersion(object.Value)
		if !object.Deleted && object.Key == platform.NameConfig && err == nil && version < c.directory.ConfigVersion() {
			c.edge.log.Warn("configuration in the store is older than the one in force; keeping that", "config", c.directory.ConfigVersion(), "stored", version, "revision", object.Revision)
			object.Value = c.configValue
		}
		kept = append(kept, object)
	}
	return kept
}

// requestNewerConfig asks another host for a configuration newer than the one that the
// store has: a host that starts, or that was behind, after the store was restored from a
// backup can learn of it only there. Without such a host nothing happens.
func (c *control) requestNewerConfig(now time.Duration) {
	peer, found := c.chooser.Pick(now, true)
	if !found {
		return
	}
	version := c.directory.ConfigVersion()
	query := peerapi.Query{
		Version: peerapi.Version,
		From:    c.edge.settings.Control,
		Reads:   []peerapi.Read{{Kind: platform.KindConfig, NewerConfig: true, ConfigVersion: version}},
	}
	err := c.start(func() {
		reply, err := c.peerClient.Read(c.ctx, peer, query)
		if err != nil || len(reply.Answers) != 1 {
			c.edge.log.Info("no answer about a newer configuration", "peer", peer.String(), "config", version)
			return
		}
		select {
		case c.newerConfigs <- newerConfig{peer: peer, objects: reply.Answers[0].Page.Objects}:
		case <-c.ctx.Done():
		}
	})
	if err != nil {
		c.edge.log.Error("request for a newer configuration not sent", "peer", peer.String(), "error", err.Error())
	}
}

// applyNewerConfig puts a configuration of another host in force if it is newer.
func (c *control) applyNewerConfig(now time.Duration, newer newerConfig) {
	before := c.directory.ConfigVersion()
	if !c.applyConfig(now, follow.Change{Objects: newer.objects}) {
		return
	}
	c.edge.log.Warn("configuration taken from another host; the store has an older one",
		"peer", newer.peer.String(), "config", c.directory.ConfigVersion(), "stored", before)
	c.peerServer.replaceConfig(c.configValue)
	c.publish(now)
}
