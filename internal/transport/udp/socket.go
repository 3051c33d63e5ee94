// Package udp sends and receives datagrams in batches.
package udp

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/samber/oops"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
)

const (
	// BatchSize is the largest number of datagrams in one system call.
	BatchSize = 64
	// socketBufferSize is the requested size of the kernel's send and receive
	// buffers in bytes; the kernel may grant less.
	socketBufferSize = 8 << 20
)

// batchWriter is implemented by both ipv4.PacketConn and ipv6.PacketConn.
type batchWriter interface {
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// Socket is an open UDP socket. It is safe for concurrent use, unlike its Readers and
// Writers.
type Socket struct {
	conn  *net.UDPConn
	raw   syscall.RawConn
	batch batchWriter
	ip4   bool
}

// Listen opens a socket bound to the address.
func Listen(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, oops.Code("udp_listen").With("address", address.String()).Wrap(err)
	}
	// The socket also works with smaller buffers.
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
	return newSocket(conn, address.Addr().Unmap().Is4())
}

func newSocket(conn *net.UDPConn, ip4 bool) (*Socket, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, oops.Code("udp_socket").Wrap(err)
	}
	s := &Socket{conn: conn, raw: raw, ip4: ip4, batch: ipv6.NewPacketConn(conn)}
	if ip4 {
		s.batch = ipv4.NewPacketConn(conn)
	}
	return s, nil
}

// Clone returns another descriptor of the same socket. Concurrent writes to one
// descriptor wait for each other; writes to different descriptors don't.
func (s *Socket) Clone() (*Socket, error) {
	file, err := s.conn.File()
	if err != nil {
		return nil, oops.Code("udp_clone").Wrap(err)
	}
	defer func() { _ = file.Close() }()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, oops.Code("udp_clone").Wrap(err)
	}
	return newSocket(conn.(*net.UDPConn), s.ip4)
}

// Address returns the local address.
func (s *Socket) Address() netip.AddrPort {
	return unmapAddrPort(s.conn.LocalAddr())
}

// SetReadDeadline makes reads fail with os.ErrDeadlineExceeded from the given time on.
// Until then readers can drain the kernel's buffer. Writes are not affected.
func (s *Socket) SetReadDeadline(at time.Time) error {
	return s.conn.SetReadDeadline(at)
}

// Close closes the socket; pending reads return net.ErrClosed.
func (s *Socket) Close() error {
	return s.conn.Close()
}

// unmapAddrPort converts a UDP address and turns an IPv4-mapped IPv6 address into IPv4.
func unmapAddrPort(addr net.Addr) netip.AddrPort {
	udpAddr, ok := addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ip, _ := netip.AddrFromSlice(udpAddr.IP)
	return netip.AddrPortFrom(ip.Unmap(), uint16(udpAddr.Port))
}
