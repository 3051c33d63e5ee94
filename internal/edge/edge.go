// Package edge wires guavaedge together: one goroutine that forwards packets,
// one that follows the store and owns what is known of it, and the HTTP servers
// that tell whether the host takes traffic and what it has counted.
package edge

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/internal/protocol/edgesettings"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/transport/limitlog"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
)

// Timing of a graceful shutdown.
const (
	// minDrainTime is how long the fabric may take to see that the host leaves.
	minDrainTime = 1300 * time.Millisecond
	// drainQuietTime is how long no packet has to arrive before the host stops.
	drainQuietTime = 400 * time.Millisecond
	// shutdownMargin is kept free before the deadline, to close what is open on a host that
	// is short of processor time.
	shutdownMargin = time.Second
	// drainPollInterval is the time between two looks at the traffic.
	drainPollInterval = 50 * time.Millisecond
)

// Edge is one running guavaedge.
type Edge struct {
	settings edgesettings.Settings
	// build is the version of the program.
	build   string
	log     *slog.Logger
	start   time.Time
	view    atomic.Pointer[catalog.View]
	leaving atomic.Bool
	// firstReady is closed when the host can serve for the first time.
	firstReady chan struct{}
	// lastPacket is when the newest packet arrived, in nanoseconds from start.
	lastPacket atomic.Int64
	// configReadAt and targetsRead are when the newest answered reads were asked for,
	// in nanoseconds from start.
	configReadAt  atomic.Int64
	targetsReadAt atomic.Int64
	// notReadyUntil is until when this host steps aside, in nanoseconds from start: it is
	// not ready, and goes on forwarding what arrives.
	notReadyUntil atomic.Int64
	metrics       *hostMetrics
	traffic       *traffic
	control       *control
	servers       *httpServers
}

// New opens every socket. Nothing is served before Run. Build is the version of the
// program, losses tells the log lines
// that were not written, for the counters.
func New(settings edgesettings.Settings, build string, log *slog.Logger, losses func() limitlog.Losses) (*Edge, error) {
	e := &Edge{settings: settings, build: build, log: log, start: time.Now(), firstReady: make(chan struct{}), metrics: newHostMetrics()}
	e.metrics.registerGauges(e)
	e.metrics.registerLogLosses(losses)
	socket, err := udp.Listen(settings.Packets)
	if err != nil {
		return nil, err
	}
	e.traffic, err = newTraffic(e, socket, steer.NewEngine(settings.Domain, rand.Float64))
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	e.control, err = newControl(e)
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	e.servers, err = listenHTTP(e)
	if err != nil {
		e.control.close()
		return nil, errors.Join(err, socket.Close())
	}
	return e, nil
}

// Run serves until a graceful shutdown asked for by leave has ended.
func (e *Edge) Run(leave <-chan struct{}) {
	go e.control.run()
	go e.control.peerServer.run()
	go e.servers.run()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.traffic.run()
	}()
	<-leave
	e.drain()
	if err := e.traffic.socket.Close(); err != nil {
		e.log.Error("packet socket not closed", "error", err.Error())
	}
	<-stopped
	e.control.close()
	e.servers.close()
}

// drain tells the fabric to send nothing more and forwards until nothing comes.
func (e *Edge) drain() {
	began := e.now()
	e.leaving.Store(true)
	e.log.Info("leaving", "deadline", e.settings.LeaveDeadline.String())
	for {
		time.Sleep(drainPollInterval)
		now := e.now()
		quiet := now - time.Duration(e.lastPacket.Load())
		if now-began > e.settings.LeaveDeadline-shutdownMargin {
			e.log.Warn("left at the deadline, packets still arrive", "quiet", quiet.String())
			return
		}
		if now-began > minDrainTime && quiet > drainQuietTime {
			return
		}
	}
}

// now is the time since the start of the process.
func (e *Edge) now() time.Duration { return time.Since(e.start) }

// configVersion returns the version in force, 0 for none.
func (e *Edge) configVersion() uint64 {
	view := e.view.Load()
	if view == nil {
		return 0
	}
	return view.Version
}

// ready tells whether the fabric should send packets here.
func (e *Edge) ready() bool {
	aside := e.now() < time.Duration(e.notReadyUntil.Load())
	return !e.leaving.Load() && !aside && e.view.Load().Ready()
}

// isClosed tells that an error is due to the own shutdown.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
