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
	// BatchSize is the largest number of datagrams of one system call.
	BatchSize = 64
	// socketBufferSize is the wished size of the kernel's buffers in bytes; the
	// kernel may give less.
	socketBufferSize = 8 << 20
)

// batchWriter is what ipv4.PacketConn and ipv6.PacketConn have in common for writing.
type batchWriter interface {
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// Socket is an open UDP socket. It is safe for concurrent use; a Reader or a
// Writer of it is not.
type Socket struct {
	conn  *net.UDPConn
	raw   syscall.RawConn
	batch batchWriter
	ip4   bool
}

// Listen opens a socket at the address.
func Listen(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, oops.Code("udp_listen").With("address", address.String()).Wrap(err)
	}
	// A smaller buffer than wished for works, too.
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

// Clone returns another handle of the same socket. Writes on one handle wait for
// each other; writes on different handles don't.
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

// SetReadDeadline ends all reads at a time, which gives readers a while to take
// what the kernel holds. They then return os.ErrDeadlineExceeded; writes go on.
func (s *Socket) SetReadDeadline(at time.Time) error {
	return s.conn.SetReadDeadline(at)
}

// Close closes the socket; readers return net.ErrClosed.
func (s *Socket) Close() error {
	return s.conn.Close()
}

func unmapAddrPort(addr net.Addr) netip.AddrPort {
	udpAddr, ok := addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ip, _ := netip.AddrFromSlice(udpAddr.IP)
	return netip.AddrPortFrom(ip.Unmap(), uint16(udpAddr.Port))
}
