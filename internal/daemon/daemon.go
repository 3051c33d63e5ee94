// Package daemon wires the parts of guavad together: one control goroutine
// that owns the control state, the packet path's workers, the rpc server, the
// platform's client and the expvar page.
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

// Daemon is one running guavad.
type Daemon struct {
	settings settings.Settings
	log      *slog.Logger
	counters *expvar.Map
	gauges   *gauges

	control  *controller
	pool     *workers.Pool
	peers    *rpc.Sender
	server   *rpc.Server
	client   *store.Client
	calls    *ants.Pool
	metrics  *http.Server
	listener struct{ control, metrics net.Listener }
}

// New opens every socket of a guavad with checked settings. Nothing is served
// before Run.
func New(s settings.Settings, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, counters: new(expvar.Map).Init(), gauges: new(gauges)}
	d.control = newController(d)
	build := []func() error{d.openPool, d.openControl, d.openMetrics, d.openPlatform}
	for _, step := range build {
		if err := step(); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// openPool opens the UDP sockets and builds the packet path.
func (d *Daemon) openPool() error {
	fabric, err := udp.Listen(d.settings.Host.Packets)
	if err != nil {
		return err
	}
	relay, err := udp.Listen(d.settings.Host.Relay)
	if err != nil {
		return errors.Join(err, fabric.Close())
	}
	d.pool, err = workers.New(workers.Settings{
		Fabric:   fabric,
		Relay:    relay,
		Return:   d.settings.Return,
		Engines:  newEngines(d.settings.Traffic),
		PassedOn: d.control.recordsPassedOn,
	})
	return err
}

// newEngines returns one engine for each shard.
func newEngines(s settings.Traffic) []workers.Engine {
	engines := make([]workers.Engine, s.Workers)
	perEngine := (s.MaxFlows + s.Workers - 1) / s.Workers
	for i := range engines {
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		engines[i] = traffic.NewEngine(traffic.Settings{
			MaxRecords:  perEngine,
			NewFlowRate: float64(s.MaxNewFlows) / float64(s.Workers),
		}, rng)
	}
	return engines
}

// openControl listens for peers and operators.
func (d *Daemon) openControl() error {
	rpcapi.RegisterMessages(control.Messages()...)
	d.peers = rpc.NewSender(d.settings.Host, rpc.SenderSettings{}, d.counters)
	var err error
	operator := &operator{daemon: d}
	d.server, err = rpc.NewServer(rpc.ServerSettings{}, d.control.deliver, operator, d.counters)
	if err != nil {
		return oops.Code("rpc_server").Wrap(err)
	}
	d.listener.control, err = net.Listen("tcp", d.settings.Host.Control.String())
	return oops.Code("control_listen").Wrap(err)
}

// maxPlatformCalls bounds the calls to the platform at one time, waiting
// watches included.
const maxPlatformCalls = 16

func (d *Daemon) openPlatform() error {
	d.client = store.NewClient(store.Settings{
		Address: d.settings.Platform.URL,
		Timeout: d.settings.Platform.Timeout,
	}, d.counters)
	var err error
	d.calls, err = ants.NewPool(maxPlatformCalls,
		ants.WithNonblocking(true),
		ants.WithPanicHandler(func(v any) { panic(v) }))
	return oops.Code("platform_pool").Wrap(err)
}

// Run serves until the graceful shutdown that a value on leave starts is
// complete.
func (d *Daemon) Run(leave <-chan struct{}) {
	d.log.Info(LogStarted, "host", d.settings.Host.ID, "domain", d.settings.Host.Domain,
		"packets", d.settings.Host.Packets.String(), "control", d.settings.Host.Control.String())
	d.pool.Start()
	go d.serve("control", func() error { return d.server.Serve(d.listener.control) })
	go d.serve("metrics", func() error { return d.metrics.Serve(d.listener.metrics) })
	d.control.run(leave)
	d.close()
	d.log.Info(LogStopped, "host", d.settings.Host.ID)
}

// serve logs the end of a server that was not closed.
func (d *Daemon) serve(name string, serve func() error) {
	err := serve()
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.log.Error(LogServerFailed, "server", name, "error", err)
	}
}

// close closes what is open, in the order that lets the control goroutine's
// last messages out first.
func (d *Daemon) close() {
	d.control.close()
	if d.server != nil {
		d.server.Close()
	}
	if d.peers != nil {
		d.peers.Close()
	}
	if d.pool != nil {
		d.pool.Close()
	}
	if d.calls != nil {
		d.calls.Release()
	}
	if d.client != nil {
		d.client.Close()
	}
	d.closeListeners()
}

func (d *Daemon) closeListeners() {
	if d.metrics != nil {
		_ = d.metrics.Close()
	}
	if d.listener.metrics != nil {
		_ = d.listener.metrics.Close()
	}
	if d.listener.control != nil {
		_ = d.listener.control.Close()
	}
}
