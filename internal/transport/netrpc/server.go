package netrpc

import (
	"cmp"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/samber/oops"
)

// ServerSettings bounds the resources of a Server. Zero fields take the default values.
type ServerSettings struct {
	// MaxConnections bounds the number of open connections.
	MaxConnections int
	// IdleTimeout is how long a connection may send nothing, or not read a reply, before
	// it is closed.
	IdleTimeout time.Duration
	// OnRefused is called for each connection that is refused; it may be nil.
	OnRefused func()
}

// Default values.
const (
	DefaultMaxConnections = 4096
	DefaultIdleTimeout    = 10 * time.Minute
)

// Service is a net/rpc receiver with the name that it is registered under.
type Service struct {
	Name     string
	Receiver any
}

// Server serves net/rpc services over TCP.
type Server struct {
	settings ServerSettings
	rpc      *rpc.Server

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// NewServer returns a server that serves nothing before Serve. It fails if a service
// has no method that net/rpc can call.
func NewServer(settings ServerSettings, services ...Service) (*Server, error) {
	settings.MaxConnections = cmp.Or(settings.MaxConnections, DefaultMaxConnections)
	settings.IdleTimeout = cmp.Or(settings.IdleTimeout, DefaultIdleTimeout)
	if settings.OnRefused == nil {
		settings.OnRefused = func() {}
	}
	s := &Server{settings: settings, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	for _, service := range services {
		if err := s.rpc.RegisterName(service.Name, service.Receiver); err != nil {
			return nil, oops.Code("rpc_service").With("service", service.Name).Wrap(err)
		}
	}
	return s, nil
}

// Serve accepts connections until Close and then returns nil. It retries a failed accept;
// if the listener is closed otherwise, it returns the error.
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accept(conn)
	}
}

// acceptRetryDelay is the delay after a failed accept, which happens for instance when
// file descriptors run out.
const acceptRetryDelay = 50 * time.Millisecond

func (s *Server) accept(conn net.Conn) {
	if !s.track(conn) {
		s.settings.OnRefused()
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
	if s.closed || len(s.conns) >= s.settings.MaxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// idleConn is a connection whose reads and writes fail after the idle timeout.
type idleConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements net.Conn.
func (c *idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. Its timeout keeps a client that stops reading from holding
// the connection forever.
func (c *idleConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
