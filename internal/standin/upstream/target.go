// Package upstream is a stand-in for the upstreams, for development and tests.
// A Target receives IP packets encapsulated in UDP, runs the requests in them and
// sends its answers, encapsulated alike, directly to the callers' address.
package upstream

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/wire"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Target is one running upstream.
type Target struct {
	options       Options
	number        uint32
	requestLog    *RequestLog
	returnAddress netip.AddrPort
	log           *slog.Logger
	socket        *net.UDPConn
	counts        counts
	started       time.Time
	done          chan struct{}

	mu           sync.Mutex
	connections  map[netip.AddrPort]*serverConn
	udpFlows     map[netip.AddrPort]time.Time
	running      int
	queue        []job
	faults       Faults
	drainStarted time.Time
}

// Faults changes how a Target behaves and what it reports.
type Faults struct {
	// Draining reports a drain; new flows are still accepted.
	Draining bool `json:"draining"`
	// Down drops every packet.
	Down bool `json:"down"`
	// Silent drops packets of unknown flows instead of resetting them.
	Silent bool `json:"silent"`
	// Forget drops all flows once, when the faults are set.
	Forget bool `json:"forget"`
	// ReportHealthy and ReportLoad replace the reported values if not nil.
	ReportHealthy *bool    `json:"report_healthy,omitempty"`
	ReportLoad    *float64 `json:"report_load,omitempty"`
}

// newTarget starts a Target of the fleet.
func newTarget(options Options, number uint32, f *Fleet) (*Target, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Address))
	if err != nil {
		return nil, err
	}
	if err := socket.SetReadBuffer(socketBuffer); err != nil {
		_ = socket.Close()
		return nil, err
	}
	t := &Target{
		options:       options,
		number:        number,
		requestLog:    f.requestLog,
		returnAddress: f.returnAddress,
		log:           f.log,
		socket:        socket,
		started:       time.Now(),
		done:          make(chan struct{}),
		connections:   make(map[netip.AddrPort]*serverConn),
		udpFlows:      make(map[netip.AddrPort]time.Time),
	}
	go t.readPackets()
	go t.tick()
	return t, nil
}

// Address returns the UDP address on which the target receives packets.
func (t *Target) Address() netip.AddrPort {
	return t.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Counts returns the current counts.
func (t *Target) Counts() Counts { return t.counts.snapshot(t.options.ID, t.options.Service) }

// SetFaults replaces the target's faults.
func (t *Target) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if faults.Draining && !t.faults.Draining {
		t.drainStarted = time.Now()
	}
	if faults.Forget {
		t.dropFlows()
	}
	t.faults = faults
}

func (t *Target) dropFlows() {
	t.connections = make(map[netip.AddrPort]*serverConn)
	t.udpFlows = make(map[netip.AddrPort]time.Time)
	t.counts.open.Store(0)
}

func (t *Target) close() {
	close(t.done)
	_ = t.socket.Close()
}

func (t *Target) readPackets() {
	var decoder wire.Decoder
	buffer := make([]byte, maxDatagram)
	for {
		n, err := t.socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		packet, err := decoder.Decode(buffer[:n])
		if err != nil {
			t.counts.malformed.Add(1)
			continue
		}
		t.receive(time.Now(), packet)
	}
}

func (t *Target) receive(now time.Time, p wire.Packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Down {
		return
	}
	if p.Dest != t.options.Service || p.Protocol != t.options.Protocol {
		t.counts.wrongService.Add(1)
		return
	}
	if p.Protocol == state.UDP {
		t.receiveDatagram(now, p)
		return
	}
	t.receiveSegment(now, p)
}

func (t *Target) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.done:
			return
		case now := <-ticker.C:
			t.tickFlows(now)
		}
	}
}

// send sends a packet from the service to the callers' address.
func (t *Target) send(p wire.Packet) {
	p.Protocol = t.options.Protocol
	p.Source = t.options.Service
	encoded, err := wire.Encode(p)
	if err != nil {
		panic(err)
	}
	// A failed write is treated as a lost packet; the endpoints retransmit.
	_, _ = t.socket.WriteToUDPAddrPort(encoded, t.returnAddress)
}

// countOpened counts a new flow. t.mu must be held.
func (t *Target) countOpened(now time.Time) {
	t.counts.opened.Add(1)
	t.counts.open.Add(1)
	if t.faults.Draining && now.Sub(t.drainStarted) > drainGrace {
		t.counts.afterDrain.Add(1)
	}
}
