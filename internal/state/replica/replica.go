// Package replica holds the objects of one kind as they were read from the store,
// so that a host can tell others what it has read: all objects, or what changed
// since a revision.
package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

const (
	// maxPageObjects bounds the objects of one answer: entries of targets take some 350 bytes
	// each, and a host with a small link has many others to answer.
	maxPageObjects = 50
	// maxTombstones bounds the deletions that are remembered.
	maxTombstones = 4096
)

// Replica is the objects of one kind. Its zero value is not ready for use: see
// New. It is not safe for concurrent use.
type Replica struct {
	objects map[string]objects.Object
	// tombstones holds deleted objects, the oldest first. Their revision is that of the
	// read that told of them.
	tombstones []objects.Object
	// completeSince is the oldest revision from which every change is known.
	completeSince uint64
	// revision is the store's at the newest whole read, 0 before the first.
	revision uint64
	// lastChange is the revision of the newest change that is held.
	lastChange uint64
	// asOf is when the newest whole read was asked for.
	asOf time.Duration
}

// New returns a replica that holds nothing.
func New() *Replica { return &Replica{objects: make(map[string]objects.Object)} }

// Put takes objects that were read and returns those that are news: what another
// host told may be older than what is known. Revision is the store's at that read.
func (r *Replica) Put(changed []objects.Object, revision uint64) []objects.Object {
	applied := make([]objects.Object, 0, len(changed))
	for _, object := range changed {
		known, present := r.objects[object.Key]
		switch {
		case object.Deleted && present && known.Revision <= revision:
			r.remove(object.Key, revision)
			applied = append(applied, object)
		case !object.Deleted && (!present || known.Revision < object.Revision):
			r.objects[object.Key] = object
			r.lastChange = max(r.lastChange, object.Revision)
			applied = append(applied, object)
		}
	}
	return applied
}

// RemoveUnlisted removes the objects that a complete list does not name.
func (r *Replica) RemoveUnlisted(listed map[string]bool, revision uint64) {
	for _, key := range slices.Sorted(maps.Keys(r.objects)) {
		if !listed[key] {
			r.remove(key, revision)
		}
	}
	if r.revision == 0 {
		// What was deleted before the first list is not known.
		r.completeSince = revision
	}
}

// remove forgets an object and remembers that it is gone.
func (r *Replica) remove(key string, revision uint64) {
	delete(r.objects, key)
	r.lastChange = max(r.lastChange, revision)
	r.tombstones = append(r.tombstones, objects.Object{Key: key, Revision: revision, Deleted: true})
	if len(r.tombstones) > maxTombstones {
		r.completeSince = max(r.completeSince, r.tombstones[0].Revision)
		r.tombstones = r.tombstones[1:]
	}
}

// MarkComplete notes that a read brought all changes up to a revision. It was asked for
// at asOf, by the clock that Since takes.
func (r *Replica) MarkComplete(revision uint64, asOf time.Duration) {
	r.revision = max(r.revision, revision)
	r.asOf = max(r.asOf, asOf)
}

// Answer is what a replica tells of its objects.
type Answer struct {
	// Known is unset if the replica can't tell: no read was whole yet, or the
	// revision that was asked about is older than the changes it remembers.
	Known bool
	// Age is the time since the read that the answer comes from was asked for.
	Age  time.Duration
	Page objects.Page
}

// ChangesSince returns what changed after a revision, the oldest first. Now is the time by
// the clock of Whole.
func (r *Replica) ChangesSince(after uint64, now time.Duration) Answer {
	if r.revision == 0 || after < r.completeSince {
		return Answer{}
	}
	page := objects.Page{Revision: r.revision}
	if after >= r.lastChange {
		return Answer{Known: true, Age: now - r.asOf, Page: page}
	}
	for _, object := range r.objects {
		if object.Revision > after {
			page.Objects = append(page.Objects, object)
		}
	}
	for _, object := range r.tombstones {
		if _, again := r.objects[object.Key]; object.Revision > after && !again {
			page.Objects = append(page.Objects, object)
		}
	}
	slices.SortStableFunc(page.Objects, func(a, b objects.Object) int { return cmp.Compare(a.Revision, b.Revision) })
	truncatePage(&page)
	return Answer{Known: true, Age: now - r.asOf, Page: page}
}

// truncatePage shortens a page of changes. The rest is told from the revision of its last
// object on, so that objects of one revision stay together.
func truncatePage(page *objects.Page) {
	if len(page.Objects) <= maxPageObjects {
		return
	}
	end := maxPageObjects
	for end < len(page.Objects) && page.Objects[end].Revision == page.Objects[end-1].Revision {
		end++
	}
	if end < len(page.Objects) {
		page.More = true
		page.Revision = page.Objects[end-1].Revision
	}
	page.Objects = page.Objects[:end]
}

// List returns the objects whose keys follow from, in the order of their keys.
func (r *Replica) List(from string, now time.Duration) Answer {
	if r.revision == 0 {
		return Answer{}
	}
	page := objects.Page{Revision: r.revision}
	for _, key := range slices.Sorted(maps.Keys(r.objects)) {
		if key <= from {
			continue
		}
		if len(page.Objects) == maxPageObjects {
			page.More = true
			break
		}
		page.Objects = append(page.Objects, r.objects[key])
	}
	return Answer{Known: true, Age: now - r.asOf, Page: page}
}
