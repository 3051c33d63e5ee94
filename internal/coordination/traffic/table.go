package traffic

import (
	"math/bits"

	"github.com/guavawharf/guavawharf/internal/state"
)

// slot is the place of a record in a table, from 1; 0 is none.
type slot uint32

// chunkRecords is the number of records allocated at once.
const chunkRecords = 4096

// table is a bounded hash table of flow records. Records keep their slot until
// they are removed. It holds no pointers per record.
type table struct {
	max     int
	count   int
	buckets []slot
	chunks  [][]record
	// allocated is the number of slots handed out so far, free ones included.
	allocated int
	free      slot
}

// newTable returns a table for at most max records.
func newTable(max int) *table {
	size := 1 << bits.Len(uint(max-1))
	return &table{max: max, buckets: make([]slot, size)}
}

// at returns the record in a slot that is not 0.
func (t *table) at(s slot) *record {
	i := int(s) - 1
	return &t.chunks[i/chunkRecords][i%chunkRecords]
}

// bucket returns the head of the fingerprint's bucket.
func (t *table) bucket(fp state.Fingerprint) *slot {
	return &t.buckets[fp.Low&uint64(len(t.buckets)-1)]
}

// find returns the flow's record, nil if there is none. The pointer is valid
// until the record is removed.
func (t *table) find(fp state.Fingerprint) *record {
	for s := *t.bucket(fp); s != 0; {
		r := t.at(s)
		if r.fingerprint == fp {
			return r
		}
		s = r.next
	}
	return nil
}

// insert adds an empty record for a flow that has none; nil when the table is
// full.
func (t *table) insert(fp state.Fingerprint) *record {
	if t.count >= t.max {
		return nil
	}
	s := t.allocate()
	head := t.bucket(fp)
	r := t.at(s)
	*r = record{fingerprint: fp, next: *head}
	*head = s
	t.count++
	return r
}

// allocate returns a free slot, allocating a chunk when none is left.
func (t *table) allocate() slot {
	if t.free != 0 {
		s := t.free
		t.free = t.at(s).next
		return s
	}
	if t.allocated == len(t.chunks)*chunkRecords {
		t.chunks = append(t.chunks, make([]record, chunkRecords))
	}
	t.allocated++
	return slot(t.allocated)
}

// remove deletes the flow's record if there is one.
func (t *table) remove(fp state.Fingerprint) {
	link := t.bucket(fp)
	for *link != 0 {
		s := *link
		r := t.at(s)
		if r.fingerprint != fp {
			link = &r.next
			continue
		}
		*link = r.next
		*r = record{next: t.free}
		t.free = s
		t.count--
		return
	}
}

// slotCount returns the number of slotCount to visit for a walk over all records.
func (t *table) slotCount() int { return t.allocated }

// recordAt returns the record in the i-th slot, from 0; nil if it is free.
func (t *table) recordAt(i int) *record {
	r := t.at(slot(i + 1))
	if r.service == 0 {
		return nil
	}
	return r
}
