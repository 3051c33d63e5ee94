package edge

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/follow"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/guavawharf/guavawharf/platform"
)

// applyConfig puts a newer configuration in force and reports whether there was one.
func (c *control) applyConfig(now time.Duration, change follow.Change) bool {
	changed := false
	for _, object := range change.Objects {
		if object.Deleted || object.Key != platform.NameConfig {
			continue
		}
		config, bad, err := platform.DecodeConfig(object.Value)
		if err != nil {
			c.edge.log.Error("cannot decode the configuration; keeping the one in force", "revision", object.Revision, "error", err.Error())
			continue
		}
		for _, err := range bad {
			c.edge.log.Error("invalid route ignored", "config", config.Version, "error", err.Error())
		}
		if c.directory.SetConfig(config) {
			changed = true
			c.watchTargets(now, config)
			c.configValue = object.Value
			c.edge.log.Info("configuration in force", "config", config.Version, "revision", object.Revision, "routes", len(config.Routes))
		}
	}
	return changed
}

// targetWatchShare sets how long a poll of the targets waits for a change, as a share of the
// bound on drains of targets.
const targetWatchShare = 0.2

// watchTargets has changes of the targets read at once if the configuration limits their slow
// starts: a target that starts again under its name must not get its usual flows until the
// next poll.
func (c *control) watchTargets(now time.Duration, config catalog.Config) {
	c.targetsWatched = len(config.SlowStarts) > 0 && c.edge.slowStartBound().Enabled()
	wait := time.Duration(0)
	if c.targetsWatched {
		wait = share(c.edge.settings.DrainBound, targetWatchShare)
	}
	c.targets.SetWatch(now, wait)
}

// applyTargets updates the directory with the entries of targets and reports whether
// any changed. If the targets are watched, the readers of this host are told at once.
func (c *control) applyTargets(now time.Duration, change follow.Change) bool {
	for _, object := range change.Objects {
		c.applyTarget(now, object)
	}
	if change.AllKeys != nil {
		c.directory.RemoveUnlisted(now, change.AllKeys)
	}
	changed := len(change.Objects) > 0 || change.AllKeys != nil
	if changed && c.targetsWatched {
		c.tellReaders(platform.KindTargets)
	}
	return changed
}

// applyTarget updates the directory with one target's entry.
func (c *control) applyTarget(now time.Duration, object objects.Object) {
	if object.Deleted {
		c.directory.Remove(now, object.Key)
		c.edge.log.Info("target gone", "target", object.Key, "revision", object.Revision)
		return
	}
	target, err := platform.DecodeTarget(object.Key, object.Value)
	if err != nil {
		c.recordUnreadable(now, object.Key)
		c.edge.log.Warn("target entry not read", "target", object.Key, "revision", object.Revision, "error", err.Error())
		return
	}
	if !c.directory.Put(now, target) {
		c.edge.log.Warn("target entry is older than what is known; not applied", "target", target.Name,
			"draining", target.Draining, "sequence", target.Sequence, "revision", object.Revision)
		return
	}
	c.edge.log.Info("target", "target", target.Name, "pool", string(target.Pool), "domain", string(target.Domain),
		"draining", target.Draining, "revision", object.Revision)
}

// recordUnreadable records that the entry with a name could not be decoded. One whose name no
// target can have is of no meaning.
func (c *control) recordUnreadable(now time.Duration, name string) {
	if id, err := platform.ParseTargetID(name); err == nil {
		c.directory.PutUnreadable(now, name, id)
	}
}
