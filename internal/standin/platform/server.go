// Package platform is a stand-in for the platform's object service, for
// development and tests. It stores objects in memory and serves the HTTP binding
// of package platformapi. POST on PathFaults adds a fault, DELETE clears all; GET on
// PathCounters returns the call counters.
package platform

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/guavawharf/guavawharf/internal/protocol/platformapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Paths that the stand-in serves in addition to those of platformapi.
const (
	PathFaults   = "/v1/faults"
	PathCounters = "/v1/counters"
)

// Options configures a Server.
type Options struct {
	// Listen is the TCP address; empty picks a free port on 127.0.0.1.
	Listen string
	// ReadsPerSecond and WritesPerSecond are rate limits; 0 is no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

const (
	defaultListen     = "127.0.0.1:0"
	readHeaderTimeout = 5 * time.Second
)

// Server is a running platform stand-in.
type Server struct {
	store    *store
	faults   faults
	counters counters
	reads    *rate.Limiter
	writes   *rate.Limiter
	listener net.Listener
	http     *http.Server
}

// New starts a server, which runs until Close.
func New(options Options) (*Server, error) {
	if options.Listen == "" {
		options.Listen = defaultListen
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{
		store:    newStore(),
		reads:    newLimiter(options.ReadsPerSecond),
		writes:   newLimiter(options.WritesPerSecond),
		listener: listener,
	}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
	go s.serve()
	return s, nil
}

// newLimiter returns a limiter with a burst of one second's calls, at least one.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

func (s *Server) serve() {
	err := s.http.Serve(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close stops the server and closes its connections.
func (s *Server) Close() error { return s.http.Close() }

// Put writes an object unconditionally; limits and faults do not apply.
func (s *Server) Put(key string, value any) (objects.Object, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return objects.Object{}, err
	}
	return s.store.overwrite(key, encoded), nil
}

// Get returns an object, if present; limits and faults do not apply.
func (s *Server) Get(key string) (objects.Object, bool) { return s.store.get(key) }

// SetFault adds a fault. Waiting watches are woken, so that FaultDown ends them.
func (s *Server) SetFault(fault Fault) {
	s.faults.add(fault)
	s.store.wakeWatches()
}

// ClearFaults removes all faults.
func (s *Server) ClearFaults() { s.faults.clear() }

// Counters returns the current counters.
func (s *Server) Counters() Counters { return s.counters.snapshot() }

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platformapi.PathObjects+"/{key...}", s.getObject)
	mux.HandleFunc("PUT "+platformapi.PathObjects+"/{key...}", s.putObject)
	mux.HandleFunc("GET "+platformapi.PathObjects, s.listObjects)
	mux.HandleFunc("GET "+platformapi.PathWatch, s.watchObjects)
	mux.HandleFunc("POST "+PathFaults, s.postFault)
	mux.HandleFunc("DELETE "+PathFaults, s.deleteFaults)
	mux.HandleFunc("GET "+PathFaults, s.getFaults)
	mux.HandleFunc("GET "+PathCounters, s.getCounters)
	return mux
}
