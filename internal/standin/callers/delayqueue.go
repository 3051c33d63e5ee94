package callers

import (
	"container/heap"
	"time"
)

// delayedPacket is a packet that is held back to simulate the network's delay.
type delayedPacket struct {
	deliverAt time.Time
	inbound   bool // from an entry host to a caller
	data      []byte
}

// delayQueue orders packets by their time of delivery.
type delayQueue struct{ packets packetHeap }

func (q *delayQueue) push(t delayedPacket) { heap.Push(&q.packets, t) }

// pop returns the next packet if its time of delivery has come.
func (q *delayQueue) pop(now time.Time) (delayedPacket, bool) {
	if len(q.packets) == 0 || q.packets[0].deliverAt.After(now) {
		return delayedPacket{}, false
	}
	return heap.Pop(&q.packets).(delayedPacket), true
}

type packetHeap []delayedPacket

func (h packetHeap) Len() int           { return len(h) }
func (h packetHeap) Less(i, j int) bool { return h[i].deliverAt.Before(h[j].deliverAt) }
func (h packetHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *packetHeap) Push(x any)        { *h = append(*h, x.(delayedPacket)) }

func (h *packetHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
