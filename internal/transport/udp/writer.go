package udp

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// Writer collects datagrams and sends them in batches.
type Writer struct {
	socket   *Socket
	messages []ipv4.Message
	storage  []messageData
	count    int
	failed   int
}

// messageData is the memory behind one message.
type messageData struct {
	addr    net.UDPAddr
	ip      [net.IPv6len]byte
	buffers [1][]byte
}

// NewWriter returns a writer to the socket.
func NewWriter(socket *Socket) *Writer {
	w := &Writer{
		socket:   socket,
		messages: make([]ipv4.Message, BatchSize),
		storage:  make([]messageData, BatchSize),
	}
	for i := range w.messages {
		w.messages[i].Addr = &w.storage[i].addr
		w.messages[i].Buffers = w.storage[i].buffers[:]
	}
	return w
}

// Add takes a datagram, and sends the batch when it is full. The data must not
// change before the next Flush. An address of the socket's other IP version
// counts as failed.
func (w *Writer) Add(data []byte, to netip.AddrPort) {
	if w.socket.ip4 != to.Addr().Unmap().Is4() {
		w.failed++
		return
	}
	slot := &w.storage[w.count]
	slot.buffers[0] = data
	slot.setAddress(to)
	w.count++
	if w.count == len(w.messages) {
		w.send()
	}
}

func (s *messageData) setAddress(to netip.AddrPort) {
	s.ip = to.Addr().As16()
	s.addr.IP = s.ip[:]
	s.addr.Port = int(to.Port())
}

// Flush sends what was added and returns how many datagrams could not be sent
// since the last Flush.
func (w *Writer) Flush() int {
	w.send()
	failed := w.failed
	w.failed = 0
	return failed
}

func (w *Writer) send() {
	rest := w.messages[:w.count]
	for len(rest) > 0 {
		n, err := w.socket.batch.WriteBatch(rest, 0)
		if err != nil || n <= 0 {
			// The first message is the one that failed.
			w.failed++
			n = 1
		}
		rest = rest[n:]
	}
	w.count = 0
}
