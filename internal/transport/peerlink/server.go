package peerlink

import (
	"net"
	"net/netip"

	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/transport/netrpc"
)

// maxConnections bounds the hosts that are connected at a time: several times those
// that one host answers.
const maxConnections = 256

// Handler answers questions. It is called from several goroutines.
type Handler interface {
	Read(peerapi.Query) peerapi.Reply
	StepAside(peerapi.AsideQuery) peerapi.AsideReply
}

// readService is the net/rpc service.
type readService struct {
	handler Handler
}

// Read answers one question.
func (r *readService) Read(query peerapi.Query, reply *peerapi.Reply) error {
	if query.Version == peerapi.Version {
		*reply = r.handler.Read(query)
	}
	return nil
}

// StepAside answers an overloaded host.
func (r *readService) StepAside(query peerapi.AsideQuery, reply *peerapi.AsideReply) error {
	if query.Version == peerapi.Version {
		*reply = r.handler.StepAside(query)
	}
	return nil
}

// Server answers other hosts.
type Server struct {
	server   *netrpc.Server
	listener net.Listener
}

// Listen opens the address that other hosts ask at; further services are served
// there, too. Nothing is answered before Serve.
func Listen(address netip.AddrPort, reader Handler, additional ...netrpc.Service) (*Server, error) {
	services := append(additional, netrpc.Service{Name: peerapi.Service, Receiver: &readService{handler: reader}})
	server, err := netrpc.NewServer(netrpc.ServerSettings{MaxConnections: maxConnections}, services...)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, oops.Code("peer_listen").Wrap(err)
	}
	return &Server{server: server, listener: listener}, nil
}

// Serve answers until Close; it then returns nil.
func (s *Server) Serve() error { return s.server.Serve(s.listener) }

// Close stops listening and drops all connections.
func (s *Server) Close() {
	s.server.Close()
	// Serve may not have taken the listener over yet.
	_ = s.listener.Close()
}
