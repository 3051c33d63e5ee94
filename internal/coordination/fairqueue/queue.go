// Package fairqueue queues packets for a worker in lanes, one per customer or class of
// its traffic, and schedules the lanes by deficit round robin, so that a customer's burst
// delays its own packets first. The package does no I/O, reads no clock and is not safe
// for concurrent use.
package fairqueue

// quantum is the number of bytes by which the deficit of a lane of weight 1 grows each
// round.
const quantum = 1500

// entry is one queued item.
type entry[T any] struct {
	item T
	size int
}

// lane is the FIFO queue of one key.
type lane[T any] struct {
	entries []entry[T]
	// head is the index of the first entry still queued.
	head    int
	weight  int
	deficit int
	active  bool
}

// length returns the number of entries queued.
func (l *lane[T]) length() int { return len(l.entries) - l.head }

// Queue is a set of lanes, each with a key, that together hold a bounded number of items.
type Queue[K comparable, T any] struct {
	limit  int
	length int
	lanes  map[K]*lane[T]
	// ring holds the active lanes in round-robin order.
	ring []*lane[T]
	// granted is set once the first lane of ring has received its quantum for this round.
	granted bool
}

// New returns a queue of at most limit items.
func New[K comparable, T any](limit int) *Queue[K, T] {
	return &Queue[K, T]{limit: limit, lanes: make(map[K]*lane[T])}
}

// Len returns the number of items queued.
func (q *Queue[K, T]) Len() int { return q.length }

// Push queues an item of a size in bytes. If the queue is full, it drops the newest item
// of the lane with the most items per weight, which may be the pushed one. ok is false if
// nothing was dropped.
func (q *Queue[K, T]) Push(key K, weight uint32, size int, item T) (dropped T, ok bool) {
	l := q.lanes[key]
	if l == nil {
		l = &lane[T]{}
		q.lanes[key] = l
	}
	l.weight = int(max(weight, 1))
	l.entries = append(l.entries, entry[T]{item: item, size: size})
	q.length++
	if !l.active {
		l.active = true
		q.ring = append(q.ring, l)
	}
	if q.length <= q.limit {
		return dropped, false
	}
	return q.dropLongest(), true
}

// dropLongest removes and returns the newest item of the lane with the most items per
// weight.
func (q *Queue[K, T]) dropLongest() T {
	longest := q.ring[0]
	for _, l := range q.ring[1:] {
		if l.length()*longest.weight > longest.length()*l.weight {
			longest = l
		}
	}
	last := len(longest.entries) - 1
	item := longest.entries[last].item
	longest.entries[last] = entry[T]{}
	longest.entries = longest.entries[:last]
	q.length--
	return item
}

// Pop returns the next item; ok is false when the queue is empty.
func (q *Queue[K, T]) Pop() (item T, ok bool) {
	for len(q.ring) > 0 {
		l := q.ring[0]
		if l.length() == 0 {
			q.deactivate(l)
			continue
		}
		if !q.granted {
			l.deficit += quantum * l.weight
			q.granted = true
		}
		first := l.entries[l.head]
		if first.size > l.deficit {
			q.ring = append(q.ring[1:], l)
			q.granted = false
			continue
		}
		l.deficit -= first.size
		l.pop()
		q.length--
		return first.item, true
	}
	return item, false
}

// deactivate removes the first lane, which is empty, from the ring.
func (q *Queue[K, T]) deactivate(l *lane[T]) {
	q.ring = q.ring[1:]
	q.granted = false
	l.active = false
	l.deficit = 0
	l.entries = l.entries[:0]
	l.head = 0
}

// pop removes the first entry. It compacts the entries once half of the slice is unused.
func (l *lane[T]) pop() {
	l.entries[l.head] = entry[T]{}
	l.head++
	if l.head*2 >= len(l.entries) {
		n := copy(l.entries, l.entries[l.head:])
		clear(l.entries[n:])
		l.entries = l.entries[:n]
		l.head = 0
	}
}
