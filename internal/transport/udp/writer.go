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

// messageData is the memory that one message points to.
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

// Add appends a datagram to the batch and sends the batch when it is full. The data
// must not change before the next Flush. A datagram to an address of the IP version
// that the socket does not have counts as failed.
func (w *Writer) Add(data []byte, to netip.AddrPort) {
	if w.socket.ip4 != to.Addr().Unmap().Is4() {
		w.failed++
		return
	}
	message := &w.storage[w.count]
	message.buffers[0] = data
	message.setAddress(to)
	w.count++
	if w.count == len(w.messages) {
		w.send()
	}
}

func (m *messageData) setAddress(to netip.AddrPort) {
	m.ip = to.Addr().As16()
	m.addr.IP = m.ip[:]
	m.addr.Port = int(to.Port())
}

// Flush sends the batch and returns how many datagrams could not be sent since the
// last Flush.
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
			// The first message failed; skip it and send the others.
			w.failed++
			n = 1
		}
		rest = rest[n:]
	}
	w.count = 0
}
