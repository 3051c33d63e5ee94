package udp

import (
	"net/netip"
	"syscall"

	"golang.org/x/net/ipv4"
)

// Slot is memory that a datagram is read into.
type Slot interface {
	// Space returns the memory to fill.
	Space() []byte
}

// Datagram is a received datagram.
type Datagram[S Slot] struct {
	Slot S
	// Size is the number of bytes at the start of the slot's space.
	Size int
	// Truncated datagrams were longer than the slot's space.
	Truncated bool
	// From is the sender.
	From netip.AddrPort
}

// Reader reads batches of datagrams into slots.
type Reader[S Slot] struct {
	socket   *Socket
	next     func() S
	slots    []S
	messages []ipv4.Message
}

// NewReader returns a reader that takes its slots from next.
func NewReader[S Slot](socket *Socket, next func() S) *Reader[S] {
	r := &Reader[S]{
		socket:   socket,
		next:     next,
		slots:    make([]S, BatchSize),
		messages: make([]ipv4.Message, BatchSize),
	}
	for i := range r.slots {
		r.messages[i].Buffers = make([][]byte, 1)
		r.refill(i)
	}
	return r
}

func (r *Reader[S]) refill(i int) {
	r.slots[i] = r.next()
	r.messages[i].Buffers[0] = r.slots[i].Space()
}

// Read waits for datagrams and calls handle for each one. If handle returns
// true it keeps the slot; otherwise the slot is used again.
func (r *Reader[S]) Read(handle func(Datagram[S]) bool) error {
	n, err := r.socket.batch.ReadBatch(r.messages, 0)
	if err != nil {
		return err
	}
	for i := range n {
		if handle(r.datagram(i)) {
			r.refill(i)
		}
	}
	return nil
}

func (r *Reader[S]) datagram(i int) Datagram[S] {
	message := &r.messages[i]
	return Datagram[S]{
		Slot:      r.slots[i],
		Size:      message.N,
		Truncated: message.Flags&syscall.MSG_TRUNC != 0,
		From:      unmapped(message.Addr),
	}
}
