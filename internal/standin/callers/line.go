package callers

import (
	"container/heap"
	"time"
)

// transit is a packet on its way through the fabric.
type transit struct {
	at      time.Time
	inbound bool
	data    []byte
}

// line orders packets by the time they arrive.
type line struct{ heap transitHeap }

func (l *line) push(t transit) { heap.Push(&l.heap, t) }

// pop returns the next packet that has arrived by now.
func (l *line) pop(now time.Time) (transit, bool) {
	if len(l.heap) == 0 || l.heap[0].at.After(now) {
		return transit{}, false
	}
	return heap.Pop(&l.heap).(transit), true
}

type transitHeap []transit

func (h transitHeap) Len() int           { return len(h) }
func (h transitHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h transitHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *transitHeap) Push(x any)        { *h = append(*h, x.(transit)) }

func (h *transitHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
