package rpc

import (
	"cmp"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/protocol/rpcapi"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/transport/netrpc"
)

// ServerSettings bound what the server takes on. Zero fields take the default
// values.
type ServerSettings struct {
	// MaxConnections bounds the open connections.
	MaxConnections int
	// Workers bounds the messages being delivered at one time.
	Workers int
	// IdleTimeout closes a connection that sends nothing.
	IdleTimeout time.Duration
}

// DefaultWorkers is used where the settings name no number of workers.
const DefaultWorkers = 64

// DeliverFunc hands a message to the control state. It is called from several
// goroutines and must not block for long.
type DeliverFunc func(from state.Host, m message.Message)

// Operator answers operators' reads. It is called from several goroutines.
type Operator interface {
	Hosts(rpcapi.Query) rpcapi.HostsReply
	Targets(rpcapi.Query) rpcapi.TargetsReply
	Flows(rpcapi.Query) rpcapi.FlowsReply
	Counters(rpcapi.Query) rpcapi.CountersReply
}

// Server serves peers and operators.
type Server struct {
	*netrpc.Server
	pool *ants.Pool
}

// NewServer returns a server that does not listen yet.
func NewServer(settings ServerSettings, deliver DeliverFunc, operator Operator, counters Counters) (*Server, error) {
	pool, err := ants.NewPool(cmp.Or(settings.Workers, DefaultWorkers),
		ants.WithNonblocking(true),
		ants.WithPanicHandler(func(v any) { panic(v) }),
	)
	if err != nil {
		return nil, err
	}
	server, err := netrpc.NewServer(
		netrpc.ServerSettings{
			MaxConnections: settings.MaxConnections,
			IdleTimeout:    settings.IdleTimeout,
			OnRefused:        func() { counters.Add(CountRefused+string(causeTooManyConnections), 1) },
		},
		netrpc.Service{Name: "Peer", Receiver: &peerService{pool: pool, deliver: deliver, counters: counters}},
		netrpc.Service{Name: "Operator", Receiver: &operatorService{operator: operator, counters: counters}},
	)
	if err != nil {
		pool.Release()
		return nil, err
	}
	return &Server{Server: server, pool: pool}, nil
}

// Close stops listening, drops all connections and ends the workers.
func (s *Server) Close() {
	s.Server.Close()
	s.pool.Release()
}
