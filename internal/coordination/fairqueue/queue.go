// Package fairqueue holds packets in lanes, one for each customer or part of its
// traffic, in front of a worker and hands them out by deficit round robin, so that
// the largest customer's burst delays itself first. It is pure and not safe for
// concurrent use.
package fairqueue

// quantum is what a lane of weight 1 may send each round, in bytes.
const quantum = 1500

// entry is one queued item.
type entry[T any] struct {
	item T
	size int
}

// lane is one queue.
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

// Queue is a bounded set of lanes, each with a key.
type Queue[K comparable, T any] struct {
	limit  int
	length int
	lanes  map[K]*lane[T]
	// ring holds the lanes with entries in the order of their turns.
	ring []*lane[T]
	// granted is true while the first lane of ring has its granted.
	granted bool
}

// New returns a queue of at most limit items.
func New[K comparable, T any](limit int) *Queue[K, T] {
	return &Queue[K, T]{limit: limit, lanes: make(map[K]*lane[T])}
}

// Len returns the number of items queued.
func (q *Queue[K, T]) Len() int { return q.length }

// Push queues an item of a size in bytes. When the queue is full, the newest
// item of the longest lane, relative to its weight, gives way: dropped is that
// item, which may be the pushed one, and ok is false if nothing was dropped.
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

// dropLongest removes the newest item of the longest lane.
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

// deactivate takes an empty lane off the ring.
func (q *Queue[K, T]) deactivate(l *lane[T]) {
	q.ring = q.ring[1:]
	q.granted = false
	l.active = false
	l.deficit = 0
	l.entries = l.entries[:0]
	l.head = 0
}

// pop removes the first entry and gives room back once half of it is unused.
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
