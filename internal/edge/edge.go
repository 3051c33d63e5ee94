// Package edge runs guavaedge. One goroutine forwards packets, another reads the
// configuration and targets from the store or from another host and publishes them
// as views, and HTTP servers report readiness and metrics.
package edge

import (
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/slowstart"
	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/internal/protocol/edgesettings"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/transport/limitlog"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
)

// Timing of a graceful shutdown.
const (
	// minDrainTime is how long the fabric may take to detect that the host is leaving.
	minDrainTime = 1300 * time.Millisecond
	// drainQuietTime is how long no packet must have arrived before the host stops.
	drainQuietTime = 400 * time.Millisecond
	// shutdownMargin is reserved before the deadline for closing sockets and calls on a
	// host that is short of processor time.
	shutdownMargin = time.Second
	// finishTimeout bounds the time to forward the packets that wait in the socket.
	finishTimeout = 300 * time.Millisecond
	// drainPollInterval is the time between checks whether packets still arrive.
	drainPollInterval = 50 * time.Millisecond
)

// Edge is one running guavaedge.
type Edge struct {
	settings edgesettings.Settings
	// build is the program's version.
	build   string
	log     *slog.Logger
	start   time.Time
	view    atomic.Pointer[catalog.View]
	leaving atomic.Bool
	// firstReady is closed once the host can serve for the first time.
	firstReady chan struct{}
	// lastPacket is when the newest packet arrived, in nanoseconds since start.
	lastPacket atomic.Int64
	// configReadAt, targetsReadAt and drainsReadAt are when the newest complete reads were requested,
	// in nanoseconds since start.
	configReadAt  atomic.Int64
	targetsReadAt atomic.Int64
	drainsReadAt  atomic.Int64
	// notReadyUntil is when an overloaded host that stepped aside reports ready again, in
	// nanoseconds since start. Until then it still forwards the packets that arrive.
	notReadyUntil atomic.Int64
	// unreachable is set while no target that this host may use is in its reach, though a
	// drained failure domain has some: hosts of other domains serve the callers then.
	unreachable atomic.Bool
	// domainHosts are the hosts of this failure domain, nil until a list is known.
	domainHosts atomic.Pointer[[]netip.AddrPort]
	metrics     *hostMetrics
	traffic     *traffic
	control     *control
	servers     *httpServers
}

// New opens every socket; nothing is served before Run. build is the program's
// version. dropCounts returns the number of log lines that were not written, for the
// metrics.
func New(settings edgesettings.Settings, build string, log *slog.Logger, dropCounts func() limitlog.DropCounts) (*Edge, error) {
	e := &Edge{settings: settings, build: build, log: log, start: time.Now(), firstReady: make(chan struct{}), metrics: newHostMetrics()}
	e.metrics.registerGauges(e)
	e.metrics.registerLogDropCounts(dropCounts)
	socket, err := udp.Listen(settings.Packets)
	if err != nil {
		return nil, err
	}
	engine := steer.NewEngine(settings.Domain, rand.Float64)
	engine.SetEstimateFrom(settings.EstimateFrom)
	if e.slowStartBound().Enabled() {
		engine.ShareSlowStarts(slowstart.New(settings.Control, e.slowStartBound()))
	}
	e.traffic, err = newTraffic(e, socket, engine)
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

// Run serves until leave receives a value and the graceful shutdown that follows is
// complete.
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
	e.traffic.finish()
	select {
	case <-stopped:
	case <-time.After(finishTimeout):
		e.log.Warn("packets still wait in the socket at shutdown")
	}
	if err := e.traffic.socket.Close(); err != nil {
		e.log.Error("cannot close the packet socket", "error", err.Error())
	}
	<-stopped
	e.control.close()
	e.servers.close()
}

// drain reports not ready, so that the fabric sends no more packets, and keeps
// forwarding until packets stop arriving or the deadline is near.
func (e *Edge) drain() {
	began := e.now()
	e.leaving.Store(true)
	e.log.Info("leaving", "deadline", e.settings.LeaveDeadline.String())
	for {
		time.Sleep(drainPollInterval)
		now := e.now()
		quiet := now - time.Duration(e.lastPacket.Load())
		if now-began > e.settings.LeaveDeadline-shutdownMargin {
			e.log.Warn("leaving at the deadline although packets still arrive", "quiet", quiet.String())
			return
		}
		if now-began > minDrainTime && quiet > drainQuietTime {
			return
		}
	}
}

// now returns the time since the host was created.
func (e *Edge) now() time.Duration { return time.Since(e.start) }

// configVersion returns the version of the configuration in force, 0 for none.
func (e *Edge) configVersion() uint64 {
	view := e.view.Load()
	if view == nil {
		return 0
	}
	return view.Version
}

// drainedDomains returns the failure domains whose targets get no new flow.
func (e *Edge) drainedDomains() []state.DomainID {
	view := e.view.Load()
	if view == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(view.DrainedDomains))
}

// ready reports whether the fabric should send packets to this host.
func (e *Edge) ready() bool {
	steppedAside := e.now() < time.Duration(e.notReadyUntil.Load())
	return !e.leaving.Load() && !steppedAside && !e.unreachable.Load() && e.view.Load().Ready()
}

// isClosed reports whether err results from closing this host's own socket.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
