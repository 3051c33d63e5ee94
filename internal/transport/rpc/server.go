package rpc

import (
	"cmp"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/protocol/rpcapi"
	"github.com/guavawharf/guavawharf/internal/state"
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

// Default values.
const (
	DefaultMaxConnections = 4096
	DefaultWorkers        = 64
	DefaultIdleTimeout    = 10 * time.Minute
)

// Deliver hands a message to the control state. It is called from several
// goroutines and must not block for long.
type Deliver func(from state.Host, m message.Message)

// Operator answers operators' reads. It is called from several goroutines.
type Operator interface {
	Hosts(rpcapi.Query) rpcapi.HostsReply
	Targets(rpcapi.Query) rpcapi.TargetsReply
	Flows(rpcapi.Query) rpcapi.FlowsReply
	Counters(rpcapi.Query) rpcapi.CountersReply
}

// Server serves peers and operators.
type Server struct {
	settings ServerSettings
	counters Counters
	rpc      *rpc.Server
	pool     *ants.Pool

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	open     map[net.Conn]struct{}
}

// NewServer returns a server that does not listen yet.
func NewServer(settings ServerSettings, deliver Deliver, operator Operator, counters Counters) (*Server, error) {
	settings.MaxConnections = cmp.Or(settings.MaxConnections, DefaultMaxConnections)
	settings.Workers = cmp.Or(settings.Workers, DefaultWorkers)
	settings.IdleTimeout = cmp.Or(settings.IdleTimeout, DefaultIdleTimeout)
	pool, err := ants.NewPool(settings.Workers,
		ants.WithNonblocking(true),
		ants.WithPanicHandler(func(v any) { panic(v) }),
	)
	if err != nil {
		return nil, err
	}
	s := &Server{
		settings: settings,
		counters: counters,
		rpc:      rpc.NewServer(),
		pool:     pool,
		open:     make(map[net.Conn]struct{}),
	}
	peer := &peerService{pool: pool, deliver: deliver, counters: counters}
	reads := &operatorService{operator: operator, counters: counters}
	err = errors.Join(s.rpc.RegisterName("Peer", peer), s.rpc.RegisterName("Operator", reads))
	return s, err
}

// Serve accepts connections until Close; it then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return listener.Close()
	}
	for {
		conn, err := listener.Accept()
		if s.isClosed() {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s.accept(conn)
	}
}

// acceptPause is the wait after a failed accept, such as for lack of file
// descriptors.
const acceptPause = 50 * time.Millisecond

func (s *Server) accept(conn net.Conn) {
	if !s.track(conn) {
		s.counters.Add(CountRefused+string(causeConnections), 1)
		_ = conn.Close()
		return
	}
	go func() {
		defer s.untrack(conn)
		s.rpc.ServeConn(&idleConn{Conn: conn, timeout: s.settings.IdleTimeout})
	}()
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.open) >= s.settings.MaxConnections {
		return false
	}
	s.open[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close stops listening and drops all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.pool.Release()
}

// idleConn closes when nothing arrives for the timeout.
type idleConn struct {
	net.Conn
	timeout time.Duration
}

// Read reads with the idle timeout.
func (c *idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write writes with the idle timeout, so that a stuck reader does not hold the
// connection for good.
func (c *idleConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
