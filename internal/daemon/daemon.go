// Package daemon connects the parts of guavad: the control goroutine that owns the
// control state, the packet path's workers, the RPC server, the platform client and the
// expvar page.
package daemon

import (
	"errors"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"

	"github.com/panjf2000/ants/v2"
	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/coordination/control"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/protocol/rpcapi"
	"github.com/guavawharf/guavawharf/internal/protocol/settings"
	"github.com/guavawharf/guavawharf/internal/transport/rpc"
	"github.com/guavawharf/guavawharf/internal/transport/store"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
	"github.com/guavawharf/guavawharf/internal/transport/workers"
)

// Daemon is one guavad instance.
type Daemon struct {
	settings settings.Settings
	log      *slog.Logger
	counters *expvar.Map
	gauges   *gauges

	control        *controller
	packetPool     *workers.Pool
	sender         *rpc.Sender
	server         *rpc.Server
	platformClient *store.Client
	callPool       *ants.Pool
	metrics        *http.Server
	listeners      struct{ control, metrics net.Listener }
}

// New opens all sockets of a daemon. The settings must have been validated. Requests are
// served only after Run has been called.
func New(s settings.Settings, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, counters: new(expvar.Map).Init(), gauges: new(gauges)}
	d.control = newController(d)
	steps := []func() error{d.openPacketPool, d.openControl, d.openMetrics, d.openPlatform}
	for _, step := range steps {
		if err := step(); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// openPacketPool opens the UDP sockets and builds the packet path.
func (d *Daemon) openPacketPool() error {
	fabric, err := udp.Listen(d.settings.Host.Packets)
	if err != nil {
		return err
	}
	relay, err := udp.Listen(d.settings.Host.Relay)
	if err != nil {
		return errors.Join(err, fabric.Close())
	}
	d.packetPool, err = workers.New(workers.Settings{
		Fabric:            fabric,
		Relay:             relay,
		Return:            d.settings.ReturnAddress,
		Engines:           newEngines(d.settings.Traffic),
		RecordsHandedOver: d.control.signalRecordsHandedOver,
	})
	return err
}

// newEngines returns one engine per worker. The limits of flows and of new flows are
// divided evenly among them.
func newEngines(s settings.Traffic) []workers.Engine {
	engines := make([]workers.Engine, s.Workers)
	flowsPerEngine := (s.MaxFlows + s.Workers - 1) / s.Workers
	for i := range engines {
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		engines[i] = traffic.NewEngine(traffic.Settings{
			MaxRecords:  flowsPerEngine,
			NewFlowRate: float64(s.MaxNewFlows) / float64(s.Workers),
		}, rng)
	}
	return engines
}

// openControl opens the RPC listener for peers and operators.
func (d *Daemon) openControl() error {
	rpcapi.RegisterMessages(control.Messages()...)
	d.sender = rpc.NewSender(d.settings.Host, rpc.SenderSettings{}, d.counters)
	var err error
	operator := &operatorHandler{daemon: d}
	d.server, err = rpc.NewServer(rpc.ServerSettings{}, d.control.enqueueMessage, operator, d.counters)
	if err != nil {
		return oops.Code("rpc_server").Wrap(err)
	}
	d.listeners.control, err = net.Listen("tcp", d.settings.Host.Control.String())
	return oops.Code("control_listen").Wrap(err)
}

// maxPlatformCalls bounds the concurrent calls to the platform, including pending
// watches.
const maxPlatformCalls = 16

func (d *Daemon) openPlatform() error {
	d.platformClient = store.NewClient(store.Settings{
		Address: d.settings.Platform.URL,
		Timeout: d.settings.Platform.Timeout,
	}, d.counters)
	var err error
	d.callPool, err = ants.NewPool(maxPlatformCalls,
		ants.WithNonblocking(true),
		ants.WithPanicHandler(func(v any) { panic(v) }))
	return oops.Code("platform_pool").Wrap(err)
}

// Run serves until shutdown. A value on leave starts a graceful shutdown; Run returns
// once it is complete.
func (d *Daemon) Run(leave <-chan struct{}) {
	d.log.Info(LogStarted, "host", d.settings.Host.ID, "domain", d.settings.Host.Domain,
		"packets", d.settings.Host.Packets.String(), "control", d.settings.Host.Control.String())
	d.packetPool.Start()
	d.control.begin()
	go d.serve("control", func() error { return d.server.Serve(d.listeners.control) })
	go d.serve("metrics", func() error { return d.metrics.Serve(d.listeners.metrics) })
	d.control.run(leave)
	d.close()
	d.log.Info(LogStopped, "host", d.settings.Host.ID)
}

// serve runs a server and logs an error if it ends without having been closed.
func (d *Daemon) serve(name string, serve func() error) {
	err := serve()
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.log.Error(LogServerFailed, "server", name, "error", err)
	}
}

// close closes everything that is open. The order lets the control goroutine's last
// messages be sent first.
func (d *Daemon) close() {
	d.control.close()
	if d.server != nil {
		d.server.Close()
	}
	if d.sender != nil {
		d.sender.Close()
	}
	if d.packetPool != nil {
		d.packetPool.Close()
	}
	if d.callPool != nil {
		d.callPool.Release()
	}
	if d.platformClient != nil {
		d.platformClient.Close()
	}
	d.closeListeners()
}

func (d *Daemon) closeListeners() {
	if d.metrics != nil {
		_ = d.metrics.Close()
	}
	if d.listeners.metrics != nil {
		_ = d.listeners.metrics.Close()
	}
	if d.listeners.control != nil {
		_ = d.listeners.control.Close()
	}
}
