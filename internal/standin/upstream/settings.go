package upstream

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Options configures one upstream.
type Options struct {
	ID state.TargetID
	// Address is the UDP address on which it receives encapsulated packets.
	Address netip.AddrPort
	// Service is the destination of the packets that it accepts.
	Service  netip.AddrPort
	Protocol state.Protocol
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Connections is its connection limit. A SYN above it is answered with a reset.
	Connections int
	// QueueLimit is the number of requests that may wait for a slot; more are shed.
	QueueLimit int
	// ServiceTime is the time that a request occupies a slot.
	ServiceTime time.Duration
	// ColdStart is the time after the start during which requests take longer.
	ColdStart time.Duration
}

const (
	// coldStartFactor multiplies the service time at the start; it falls to 1 over
	// the cold start.
	coldStartFactor = 4
	// tickInterval is how often timers are checked, and so the longest delay of a
	// retransmission beyond its timeout.
	tickInterval = 20 * time.Millisecond
	// lingerTime is how long an ended TCP connection still answers a retransmitted
	// FIN. It is also the idle timeout of UDP flows.
	lingerTime = 30 * time.Second
	// drainGrace is how long after the start of a drain new flows are not counted as
	// AfterDrain.
	drainGrace = 5 * time.Second
	// socketBuffer is the size of the socket's receive buffer in bytes.
	socketBuffer = 4 << 20
	maxDatagram  = 65535
)
