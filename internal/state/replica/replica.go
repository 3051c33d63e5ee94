// Package replica holds a copy of the store's objects of one kind, so that a host can
// serve them to other hosts: all objects, or the changes since a revision.
package replica

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

const (
	// maxPageObjects limits the objects in one answer: a target entry takes about
	// 350 bytes, and a host with a low-bandwidth link has many other hosts to answer.
	// Only truncatePage may exceed it.
	maxPageObjects = 50
	// maxTombstones is the maximum number of deletions retained.
	maxTombstones = 4096
)

// Replica is a copy of the store's objects of one kind. Use New to create one; the zero
// value is not usable. It is not safe for concurrent use.
type Replica struct {
	objects map[string]objects.Object
	// tombstones holds the deleted objects, oldest first. The revision of each is that
	// of the read that reported the deletion.
	tombstones []objects.Object
	// completeSince is the oldest revision after which every change is known.
	completeSince uint64
	// revision is the store's revision at the newest complete read, 0 before the
	// first.
	revision uint64
	// era is the store's era to which the revisions belong.
	era objects.Era
	// lastChange is the revision of the newest change in the replica.
	lastChange uint64
	// asOf is the time at which the newest complete read was requested.
	asOf time.Duration
}

// New returns an empty replica.
func New() *Replica { return &Replica{objects: make(map[string]objects.Object)} }

// Put stores objects that were read, and returns those that changed the replica. It
// ignores the others: an answer of another host may be older than the replica. revision
// is the store's revision at the read.
func (r *Replica) Put(changed []objects.Object, revision uint64) []objects.Object {
	applied := make([]objects.Object, 0, len(changed))
	for _, object := range changed {
		known, present := r.objects[object.Key]
		switch {
		case object.Deleted && present && known.Revision <= revision:
			r.remove(object.Key, revision)
			applied = append(applied, object)
		case object.Deleted && !present && !r.hasNewTombstone(object.Key):
			// It was created and deleted between two reads of this host. Another host may know
			// it and ask this one.
			r.remove(object.Key, revision)
		case !object.Deleted && (!present || known.Revision < object.Revision):
			r.objects[object.Key] = object
			r.lastChange = max(r.lastChange, object.Revision)
			applied = append(applied, object)
		}
	}
	return applied
}

// Era returns the store's era to which the replica's revisions belong.
func (r *Replica) Era() objects.Era { return r.era }

// Restore replaces the whole replica by a list that was read at a revision of a new era.
// The replica answers no query until the next MarkComplete.
func (r *Replica) Restore(listed []objects.Object, era objects.Era, revision uint64) {
	*r = *New()
	r.era = era
	r.completeSince = revision
	r.Put(listed, revision)
}

// ReplaceValue replaces the value of an object by a newer one that the store has lost. The
// object keeps its revision.
func (r *Replica) ReplaceValue(key string, value json.RawMessage) {
	if object, present := r.objects[key]; present {
		object.Value = value
		r.objects[key] = object
	}
}

// RemoveUnlisted removes the objects that a complete list, read at a revision of the
// store, does not contain.
func (r *Replica) RemoveUnlisted(listed map[string]bool, revision uint64) {
	for _, key := range slices.Sorted(maps.Keys(r.objects)) {
		if !listed[key] {
			r.remove(key, revision)
		}
	}
	if r.revision == 0 {
		// Deletions before the first list are not known.
		r.completeSince = revision
	}
}

// hasNewTombstone reports whether a deletion of the object was recorded since the newest
// complete read.
func (r *Replica) hasNewTombstone(key string) bool {
	return slices.ContainsFunc(r.tombstones, func(deleted objects.Object) bool {
		return deleted.Key == key && deleted.Revision > r.revision
	})
}

// remove deletes an object and adds a tombstone for it. If the oldest tombstone is
// evicted, changes since before its revision are no longer known.
func (r *Replica) remove(key string, revision uint64) {
	delete(r.objects, key)
	r.lastChange = max(r.lastChange, revision)
	r.tombstones = append(r.tombstones, objects.Object{Key: key, Revision: revision, Deleted: true})
	if len(r.tombstones) > maxTombstones {
		r.completeSince = max(r.completeSince, r.tombstones[0].Revision)
		r.tombstones = r.tombstones[1:]
	}
}

// MarkComplete records that the replica has all changes up to a revision of an era, from
// a read that was requested at asOf. asOf is a time of the same clock as now in
// ChangesSince and List.
func (r *Replica) MarkComplete(era objects.Era, revision uint64, asOf time.Duration) {
	r.era = era
	r.revision = max(r.revision, revision)
	r.asOf = max(r.asOf, asOf)
}

// Answer is the result of a query of a replica.
type Answer struct {
	// Known is false if the replica cannot answer: no read was complete yet, or the
	// requested revision is older than the changes that the replica retains.
	Known bool
	// Age is the time since the newest complete read was requested.
	Age  time.Duration
	Page objects.Page
}

// ChangesSince returns the objects that changed or were deleted after a revision,
// oldest change first, at most one page of them. now is a time of the same clock as
// asOf in MarkComplete.
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

// truncatePage limits a page of changes to maxPageObjects and sets its revision to that
// of its last object, from which the next query continues. For that, objects of one
// revision must not be split between pages: a page may exceed the limit to keep them
// together.
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

// List returns the objects whose keys sort after from, in the order of their keys, at
// most maxPageObjects of them.
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
