package upstream

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Options sets up one upstream.
type Options struct {
	ID state.TargetID
	// Address receives encapsulated packets.
	Address netip.AddrPort
	// Service is the destination of the packets that belong here.
	Service  netip.AddrPort
	Protocol state.Protocol
	// Slots is how many requests it works on at once.
	Slots int
	// Connections is its connection limit; a SYN beyond it is reset.
	Connections int
	// QueueLimit is how many requests wait for a slot before it sheds.
	QueueLimit int
	// ServiceTime is how long a request holds a slot.
	ServiceTime time.Duration
	// ColdStart is how long it is slow after its start.
	ColdStart time.Duration
}

const (
	// coldStartFactor multiplies the service time at the start.
	coldStartFactor = 4
	// tickInterval bounds the lateness of retransmissions.
	tickInterval = 20 * time.Millisecond
	// lingerTime is how long an ended connection answers a repeated FIN.
	lingerTime = 30 * time.Second
	// drainGrace is how long after a drain began new flows are still expected.
	drainGrace = 5 * time.Second
	// socketBuffer is the receive buffer in bytes.
	socketBuffer = 4 << 20
	maxDatagram  = 65535
)
