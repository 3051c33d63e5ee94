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

// ServerSettings bounds the resources of a Server. Zero fields take the default values.
type ServerSettings struct {
	// MaxConnections bounds the number of open connections.
	MaxConnections int
	// Workers bounds the number of messages that are delivered concurrently.
	Workers int
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout time.Duration
}

// DefaultWorkers is the number of workers if the settings give none.
const DefaultWorkers = 64

// DeliverFunc handles a received message. It is called from several goroutines and must
// not block for long, since it occupies one of the workers.
type DeliverFunc func(from state.Host, m message.Message)

// Operator answers the queries of operators. It is called from several goroutines.
type Operator interface {
	Hosts(rpcapi.Query) rpcapi.HostsReply
	Targets(rpcapi.Query) rpcapi.TargetsReply
	Flows(rpcapi.Query) rpcapi.FlowsReply
	Counters(rpcapi.Query) rpcapi.CountersReply
}

// Server serves messages from peers and queries from operators.
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
			OnRefused:      func() { counters.Add(CountRefused+string(causeTooManyConnections), 1) },
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

// Close stops listening, closes all connections and releases the workers.
func (s *Server) Close() {
	s.Server.Close()
	s.pool.Release()
}
