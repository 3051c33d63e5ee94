package traffic

import (
	"math/bits"

	"github.com/guavawharf/guavawharf/internal/state"
)

// slot is the position of a record in a table, counted from 1; 0 is none.
type slot uint32

// chunkRecords is the number of records allocated at once.
const chunkRecords = 4096

// table is a bounded hash table of flow records. A record keeps its slot until
// it is removed. The table holds no pointers per record.
type table struct {
	max     int
	count   int
	buckets []slot
	chunks  [][]record
	// allocated is the number of slots in use so far, including those freed since.
	allocated int
	free      slot
}

// newTable returns a table for up to max records.
func newTable(max int) *table {
	size := 1 << bits.Len(uint(max-1))
	return &table{max: max, buckets: make([]slot, size)}
}

// at returns the record in a slot, which must not be 0.
func (t *table) at(s slot) *record {
	i := int(s) - 1
	return &t.chunks[i/chunkRecords][i%chunkRecords]
}

// bucket returns the head of the fingerprint's bucket.
func (t *table) bucket(fp state.Fingerprint) *slot {
	return &t.buckets[fp.Low&uint64(len(t.buckets)-1)]
}

// find returns the flow's record, or nil. The pointer is valid until the record
// is removed.
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

// insert adds an empty record for a flow that has none. It returns nil if the
// table is full.
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

// allocate returns a free slot. It allocates a chunk if none is free.
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

// slotCount returns the number of slots that an iteration over all records
// visits.
func (t *table) slotCount() int { return t.allocated }

// recordAt returns the record in the slot with index i, counted from 0, or nil
// if the slot is free.
func (t *table) recordAt(i int) *record {
	r := t.at(slot(i + 1))
	if r.service == 0 {
		return nil
	}
	return r
}
