package peerlink

import (
	"net"
	"net/netip"

	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/transport/netrpc"
)

// maxConnections bounds the open connections from other hosts. It is several times the
// number of hosts that read from one host.
const maxConnections = 256

// Handler answers the calls of other hosts. It is called from several goroutines.
type Handler interface {
	Read(peerapi.Query) peerapi.Reply
	StepAside(peerapi.StepAsideQuery) peerapi.StepAsideReply
	Report(peerapi.Report)
	Notify(peerapi.Notice)
}

// readService is the net/rpc service peerapi.Service. It sends an empty reply to a call of
// another interface version.
type readService struct {
	handler Handler
}

// Read answers a query for objects.
func (r *readService) Read(query peerapi.Query, reply *peerapi.Reply) error {
	if query.Version == peerapi.Version {
		*reply = r.handler.Read(query)
	}
	return nil
}

// StepAside answers whether an overloaded host may step aside.
func (r *readService) StepAside(query peerapi.StepAsideQuery, reply *peerapi.StepAsideReply) error {
	if query.Version == peerapi.Version {
		*reply = r.handler.StepAside(query)
	}
	return nil
}

// Report takes a report about targets that are down.
func (r *readService) Report(report peerapi.Report, _ *peerapi.ReportReply) error {
	if report.Version == peerapi.Version {
		r.handler.Report(report)
	}
	return nil
}

// Notify takes a notice that objects have changed.
func (r *readService) Notify(notice peerapi.Notice, _ *peerapi.NoticeReply) error {
	if notice.Version == peerapi.Version {
		r.handler.Notify(notice)
	}
	return nil
}

// Server serves the calls of other hosts.
type Server struct {
	server   *netrpc.Server
	listener net.Listener
}

// Listen opens the address that other hosts connect to, where the additional services
// are served as well. No call is answered before Serve.
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

// Serve answers calls until Close and then returns nil.
func (s *Server) Serve() error { return s.server.Serve(s.listener) }

// Close stops listening and closes all connections.
func (s *Server) Close() {
	s.server.Close()
	// If Serve has not run yet, s.server doesn't close the listener.
	_ = s.listener.Close()
}
