package callers

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
)

const (
	socketBuffer = 4 << 20
	maxDatagram  = 65535
	// ipv4WorkerOffset and ipv6WorkerOffset are the offsets, in an IP packet, of
	// the byte of the destination address that holds the worker's index plus 1.
	ipv4WorkerOffset = 17
	ipv6WorkerOffset = 27
)

// fabric sends the workers' packets to the entry hosts and distributes the
// answers to the workers. The workers simulate loss and delay.
type fabric struct {
	socket   *net.UDPConn
	hosts    atomic.Pointer[[]netip.AddrPort]
	sent     atomic.Int64
	lost     atomic.Int64
	received atomic.Int64
	stray    atomic.Int64
}

func newFabric(listen netip.AddrPort, hosts []netip.AddrPort) (*fabric, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	if err := socket.SetReadBuffer(socketBuffer); err != nil {
		_ = socket.Close()
		return nil, err
	}
	f := &fabric{socket: socket}
	f.hosts.Store(&hosts)
	return f, nil
}

// send sends the packet to a random entry host.
func (f *fabric) send(random *rand.Rand, data []byte) {
	f.sent.Add(1)
	hosts := *f.hosts.Load()
	// A failed write counts as packet loss; the endpoints retransmit.
	_, _ = f.socket.WriteToUDPAddrPort(data, hosts[random.IntN(len(hosts))])
}

// receive puts each answer into its worker's inbox until the socket is closed.
// Answers to a worker whose inbox is full are dropped and counted as lost.
func (f *fabric) receive(workers []*worker) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := f.socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f.received.Add(1)
		index, ok := workerIndex(buffer[:n])
		if !ok || index >= len(workers) {
			f.stray.Add(1)
			continue
		}
		select {
		case workers[index].inbox <- append([]byte(nil), buffer[:n]...):
		default:
			f.lost.Add(1)
		}
	}
}

// workerIndex returns the index that callerAddress encoded in the packet's
// destination address. It returns false if there is none.
func workerIndex(data []byte) (int, bool) {
	if len(data) > ipv4WorkerOffset && data[0]>>4 == 4 {
		return int(data[ipv4WorkerOffset]) - 1, data[ipv4WorkerOffset] > 0
	}
	if len(data) > ipv6WorkerOffset && data[0]>>4 == 6 {
		return int(data[ipv6WorkerOffset]) - 1, data[ipv6WorkerOffset] > 0
	}
	return 0, false
}

const (
	portsPerAddress = 50_000
	firstPort       = 10_000
)

// callerAddress returns the n-th caller address of a worker, in the service's
// address family.
func callerAddress(worker, n int, service netip.Addr) netip.AddrPort {
	host := n / portsPerAddress
	port := uint16(firstPort + n%portsPerAddress)
	high, low := byte(host>>8), byte(host)
	if service.Is4() {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(worker + 1), high, low + 1}), port)
	}
	address := [16]byte{0: 0xfd, 3: byte(worker + 1), 14: high, 15: low + 1}
	return netip.AddrPortFrom(netip.AddrFrom16(address), port)
}
