package udp

import (
	"encoding/binary"
	"net/netip"
	"syscall"
	"unsafe"

	"github.com/samber/oops"
	"golang.org/x/sys/unix"
)

// Buffer is memory that a datagram is read into.
type Buffer interface {
	// Bytes returns the memory to read into.
	Bytes() []byte
}

// Datagram is a received datagram.
type Datagram[S Buffer] struct {
	Buffer S
	// Size is the number of bytes read into the buffer.
	Size int
	// Truncated is whether the datagram was longer than the buffer.
	Truncated bool
	// From is the sender's address.
	From netip.AddrPort
}

// mmsghdr is the kernel's struct mmsghdr.
type mmsghdr struct {
	header unix.Msghdr
	// size is the number of bytes received.
	size uint32
	_    [4]byte
}

// Reader reads datagrams in batches. It allocates no memory for them other than the
// buffers that next returns.
type Reader[S Buffer] struct {
	raw     syscall.RawConn
	next    func() S
	buffers []S
	// Each of messages points to one of vectors and one of addresses.
	messages  []mmsghdr
	vectors   []unix.Iovec
	addresses []unix.RawSockaddrInet6
	// recvFunc is the method value recvmmsg, bound once. raw.Read calls it while the
	// socket may be readable; count and errno are its results.
	recvFunc func(fd uintptr) bool
	count    int
	errno    syscall.Errno
}

// NewReader returns a reader that obtains its buffers from next.
func NewReader[S Buffer](socket *Socket, next func() S) *Reader[S] {
	r := &Reader[S]{
		raw:       socket.raw,
		next:      next,
		buffers:   make([]S, BatchSize),
		messages:  make([]mmsghdr, BatchSize),
		vectors:   make([]unix.Iovec, BatchSize),
		addresses: make([]unix.RawSockaddrInet6, BatchSize),
	}
	r.recvFunc = r.recvmmsg
	for i := range r.buffers {
		header := &r.messages[i].header
		header.Name = (*byte)(unsafe.Pointer(&r.addresses[i]))
		header.Iov = &r.vectors[i]
		header.SetIovlen(1)
		r.refill(i)
	}
	return r
}

func (r *Reader[S]) refill(i int) {
	r.buffers[i] = r.next()
	space := r.buffers[i].Bytes()
	r.vectors[i].Base = unsafe.SliceData(space)
	r.vectors[i].SetLen(len(space))
}

// Read waits for datagrams and calls handle for each one. If handle returns true, it
// retains the buffer; otherwise the buffer is reused.
func (r *Reader[S]) Read(handle func(Datagram[S]) bool) error {
	for i := range r.messages {
		// The kernel overwrites it with the length of the sender's address.
		r.messages[i].header.Namelen = uint32(unsafe.Sizeof(r.addresses[i]))
	}
	if err := r.raw.Read(r.recvFunc); err != nil {
		return err
	}
	if r.errno != 0 {
		return oops.Code("udp_receive").Wrap(r.errno)
	}
	for i := range r.count {
		if handle(r.datagram(i)) {
			r.refill(i)
		}
	}
	return nil
}

// recvmmsg receives the datagrams that have arrived. It returns false if there are
// none, so that RawConn.Read waits and calls it again.
func (r *Reader[S]) recvmmsg(fd uintptr) (done bool) {
	for {
		count, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.messages[0])),
			uintptr(len(r.messages)), unix.MSG_DONTWAIT, 0, 0)
		if errno == unix.EINTR {
			continue
		}
		r.count, r.errno = int(count), errno
		return errno != unix.EAGAIN
	}
}

func (r *Reader[S]) datagram(i int) Datagram[S] {
	return Datagram[S]{
		Buffer:    r.buffers[i],
		Size:      int(r.messages[i].size),
		Truncated: r.messages[i].header.Flags&unix.MSG_TRUNC != 0,
		From:      parseSockaddr(&r.addresses[i]),
	}
}

// parseSockaddr converts the address that the kernel wrote. The port is at the same
// offset for both IP versions, in network byte order.
func parseSockaddr(sender *unix.RawSockaddrInet6) netip.AddrPort {
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&sender.Port))[:])
	if sender.Family == unix.AF_INET {
		return netip.AddrPortFrom(netip.AddrFrom4((*unix.RawSockaddrInet4)(unsafe.Pointer(sender)).Addr), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16(sender.Addr).Unmap(), port)
}
