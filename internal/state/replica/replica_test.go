package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

func object(key string, revision uint64) objects.Object {
	return objects.Object{Key: key, Revision: revision}
}

func tombstone(key string) objects.Object { return objects.Object{Key: key, Deleted: true} }

// keys returns the keys of a page's objects; deleted objects have the prefix "-".
func keys(page objects.Page) []string {
	var keys []string
	for _, object := range page.Objects {
		if object.Deleted {
			keys = append(keys, "-"+object.Key)
			continue
		}
		keys = append(keys, object.Key)
	}
	return keys
}

// newFilledReplica returns a replica with a list at revision 10, requested at 1 s.
func newFilledReplica() *Replica {
	r := New()
	r.Put([]objects.Object{object("a", 3), object("b", 7)}, 10)
	r.RemoveUnlisted(map[string]bool{"a": true, "b": true}, 10)
	r.MarkComplete(0, 10, time.Second)
	return r
}

func TestUnknownBeforeFirstCompleteRead(t *testing.T) {
	r := New()
	r.Put([]objects.Object{object("a", 3)}, 10)
	r.RemoveUnlisted(map[string]bool{"a": true}, 10)
	require.False(t, r.ChangesSince(10, time.Second).Known)
	require.False(t, r.List("", time.Second).Known)
}

func TestChangesSinceOrderAndAge(t *testing.T) {
	r := newFilledReplica()
	r.Put([]objects.Object{object("c", 14), tombstone("a"), object("b", 12)}, 15)
	r.MarkComplete(0, 15, 3*time.Second)
	answer := r.ChangesSince(10, 4*time.Second)
	require.True(t, answer.Known)
	require.Equal(t, time.Second, answer.Age)
	require.Equal(t, []string{"b", "c", "-a"}, keys(answer.Page))
	require.EqualValues(t, 15, answer.Page.Revision)
	require.Empty(t, r.ChangesSince(15, 4*time.Second).Page.Objects)
}

// An object that was deleted and created again must be reported once, as present: a
// host that never received the deletion just replaces its copy.
func TestRecreatedObjectIsNotReportedDeleted(t *testing.T) {
	r := newFilledReplica()
	r.Put([]objects.Object{tombstone("a"), object("a", 14)}, 15)
	r.MarkComplete(0, 15, time.Second)
	require.Equal(t, []string{"a"}, keys(r.ChangesSince(10, 0).Page))
}

func TestChangesBeforeFirstListAreUnknown(t *testing.T) {
	r := newFilledReplica()
	require.False(t, r.ChangesSince(9, 0).Known)
	require.True(t, r.ChangesSince(10, 0).Known)
}

// When the store's history is lost, a list reveals deletions by the objects that it
// lacks; the replica must report them.
func TestListReportsDeletions(t *testing.T) {
	r := newFilledReplica()
	r.Put([]objects.Object{object("b", 7)}, 40)
	r.RemoveUnlisted(map[string]bool{"b": true}, 40)
	r.MarkComplete(0, 40, 2*time.Second)
	require.Equal(t, []string{"-a"}, keys(r.ChangesSince(10, 0).Page))
}

func TestEvictedTombstonesMakeOldRevisionsUnknown(t *testing.T) {
	r := newFilledReplica()
	for i := range maxTombstones + 1 {
		key := fmt.Sprint("t", i)
		revision := uint64(100 + 2*i)
		r.Put([]objects.Object{object(key, revision)}, revision)
		r.Put([]objects.Object{tombstone(key)}, revision+1)
	}
	r.MarkComplete(0, 1<<20, 0)
	require.False(t, r.ChangesSince(10, 0).Known)
	require.True(t, r.ChangesSince(101, 0).Known)
}

// An answer of another host may be older than the replica: its objects must not replace
// newer ones, and its deletions must not remove objects that were written since.
func TestPutIgnoresOlderObjects(t *testing.T) {
	r := newFilledReplica()
	require.Empty(t, r.Put([]objects.Object{object("b", 6), object("a", 3)}, 8))
	require.Empty(t, r.Put([]objects.Object{tombstone("b")}, 6), "the object was written after this deletion")
	require.Len(t, r.Put([]objects.Object{tombstone("b"), tombstone("b")}, 11), 1)
	r.MarkComplete(0, 8, 0)
	require.EqualValues(t, 10, r.ChangesSince(10, 0).Page.Revision)
}

func TestChangesSinceReturnsPages(t *testing.T) {
	r := newFilledReplica()
	var changed []objects.Object
	for i := range uint64(maxPageObjects + 50) {
		changed = append(changed, object(fmt.Sprint("t", i), 11+i))
	}
	r.Put(changed, 500)
	r.MarkComplete(0, 500, 0)
	part := r.ChangesSince(10, 0).Page
	require.True(t, part.More)
	require.Len(t, part.Objects, maxPageObjects)
	rest := r.ChangesSince(part.Revision, 0).Page
	require.False(t, rest.More)
	require.Len(t, rest.Objects, 50)
	require.EqualValues(t, 500, rest.Revision)
}

// Deletions reported by one read have the same revision. Split between two pages, the
// second part would be lost, since the next query starts after that revision.
func TestChangesOfOneRevisionShareAPage(t *testing.T) {
	r := newFilledReplica()
	var made, ended []objects.Object
	for i := range uint64(maxPageObjects + 50) {
		made = append(made, object(fmt.Sprint("t", i), 11+i))
		ended = append(ended, tombstone(fmt.Sprint("t", i)))
	}
	r.Put(made, 500)
	r.Put(ended, 600)
	r.MarkComplete(0, 600, 0)
	part := r.ChangesSince(10, 0).Page
	require.False(t, part.More)
	require.Len(t, part.Objects, maxPageObjects+50)
}

func TestListReturnsPages(t *testing.T) {
	r := newFilledReplica()
	for i := range maxPageObjects {
		r.Put([]objects.Object{object(fmt.Sprintf("t%04d", i), 20)}, 20)
	}
	first := r.List("", 0).Page
	require.True(t, first.More)
	require.Len(t, first.Objects, maxPageObjects)
	rest := r.List(first.Objects[maxPageObjects-1].Key, 0).Page
	require.False(t, rest.More)
	require.Len(t, rest.Objects, 2)
}

// Most queries find no change. Their cost must not grow with the number of objects.
func BenchmarkChangesSinceNoChange(b *testing.B) {
	r := New()
	var known []objects.Object
	for i := range uint64(27_000) {
		known = append(known, object(fmt.Sprint("t", i), 1+i))
	}
	r.Put(known, 30_000)
	r.MarkComplete(0, 30_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		if answer := r.ChangesSince(30_000, 0); len(answer.Page.Objects) > 0 {
			b.Fatal("ChangesSince returned objects although nothing changed")
		}
	}
}

// Without a restore, an object of the backup is older than the known one and is ignored,
// also after it was changed again.
func TestRestoreReplacesTheReplicaByAListOfTheNewEra(t *testing.T) {
	r := New()
	r.Put([]objects.Object{{Key: "t1", Revision: 100}, {Key: "t2", Revision: 99}}, 100)
	r.RemoveUnlisted(map[string]bool{"t1": true, "t2": true}, 100)
	r.MarkComplete(1, 100, 0)
	r.Restore([]objects.Object{{Key: "t1", Revision: 95}}, 2, 95)
	require.EqualValues(t, 2, r.Era())
	require.False(t, r.ChangesSince(95, 0).Known, "not before a complete read")
	require.False(t, r.List("", 0).Known)
	r.MarkComplete(2, 95, 0)
	require.Len(t, r.List("", 0).Page.Objects, 1)
	require.Len(t, r.Put([]objects.Object{{Key: "t1", Revision: 97}}, 97), 1)
	require.False(t, r.ChangesSince(94, 0).Known, "changes before the list are not known")
	answer := r.ChangesSince(95, 0)
	require.True(t, answer.Known)
	require.Len(t, answer.Page.Objects, 1)
}

func TestReplacedValueKeepsItsRevision(t *testing.T) {
	r := New()
	r.Put([]objects.Object{{Key: "main", Revision: 3, Value: []byte("1")}}, 3)
	r.MarkComplete(1, 3, 0)
	r.ReplaceValue("main", []byte("2"))
	r.ReplaceValue("other", []byte("2"))
	require.Equal(t, []objects.Object{{Key: "main", Revision: 3, Value: []byte("2")}}, r.List("", 0).Page.Objects)
}

// Found by the model of package follow: the host that asks knew the object from the store
// and used it for ever.
func TestDeletionOfAnUnknownObjectIsToldToOthers(t *testing.T) {
	r := New()
	r.RemoveUnlisted(map[string]bool{}, 4)
	r.MarkComplete(1, 4, 0)
	for range 2 {
		require.Empty(t, r.Put([]objects.Object{{Key: "t5", Deleted: true}}, 8), "nothing changes for this host")
	}
	r.MarkComplete(1, 8, 0)
	require.Equal(t, []objects.Object{{Key: "t5", Revision: 8, Deleted: true}}, r.ChangesSince(6, 0).Page.Objects)
	r.Put([]objects.Object{{Key: "t5", Deleted: true}}, 12)
	r.MarkComplete(1, 12, 0)
	require.Len(t, r.ChangesSince(10, 0).Page.Objects, 1, "created and deleted again meanwhile")
}
