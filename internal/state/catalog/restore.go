package catalog

import "time"

// RecordRestore records that the store was found restored from a backup. Until targets
// have written their entries again, one that is missing may belong to a running target,
// and one that is there may be older than what is known.
func (d *Directory) RecordRestore(now time.Duration) {
	d.restoredAt = now
	d.doubtUntil = now + d.settings.RestoreDoubt
	d.graceUntil = max(d.graceUntil, now+d.settings.OutageGrace)
}

// outdated reports whether an entry is older than what is known of its target. An entry
// of a target that left before the restore must be newer than its last one; it is held
// back otherwise.
func (d *Directory) outdated(entry *Target) bool {
	if known, ok := d.targets[entry.Name]; ok {
		return entry.olderThan(&known)
	}
	departed, ok := d.departed[entry.Name]
	if !ok || departed.since >= d.restoredAt || departed.target.olderThan(entry) {
		return false
	}
	d.heldBack[entry.Name] = *entry
	return true
}

// releaseHeldBack adds the targets whose entries were held back and that the store has
// kept for so long that they must be running.
func (d *Directory) releaseHeldBack(now time.Duration) {
	if now < d.doubtUntil {
		return
	}
	for name, target := range d.heldBack {
		delete(d.heldBack, name)
		d.Put(now, target)
	}
}
