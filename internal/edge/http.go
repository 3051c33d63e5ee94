package edge

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/guavawharf/guavawharf/platform"
	"github.com/samber/oops"
)

// pathMetrics is the HTTP path of the metrics.
const pathMetrics = "/metrics"

// httpTimeout bounds reading a request, and writing its response.
const httpTimeout = 5 * time.Second

// httpServers serve readiness and metrics, each at an address of its own.
type httpServers struct {
	edge    *Edge
	ready   httpServer
	metrics httpServer
}

// httpServer is a server with its listener.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

func listenHTTP(e *Edge) (*httpServers, error) {
	ready, err := net.Listen("tcp", e.settings.Ready.String())
	if err != nil {
		return nil, oops.Code("ready_listen").Wrap(err)
	}
	metrics, err := net.Listen("tcp", e.settings.Metrics.String())
	if err != nil {
		_ = ready.Close()
		return nil, oops.Code("metrics_listen").Wrap(err)
	}
	p := &httpServers{edge: e}
	p.ready = newHTTPServer(ready, "GET "+platform.PathReady, p.serveReady)
	p.metrics = newHTTPServer(metrics, "GET "+pathMetrics, p.serveMetrics)
	return p, nil
}

func newHTTPServer(listener net.Listener, pattern string, handler http.HandlerFunc) httpServer {
	mux := http.NewServeMux()
	mux.HandleFunc(pattern, handler)
	server := &http.Server{Handler: mux, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout}
	return httpServer{listener: listener, server: server}
}

// run serves until close.
func (p *httpServers) run() {
	go p.serve(p.metrics)
	p.serve(p.ready)
}

func (p *httpServers) serve(page httpServer) {
	err := page.server.Serve(page.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		p.edge.log.Error("HTTP server failed", "address", page.listener.Addr().String(), "error", err.Error())
	}
}

func (p *httpServers) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.edge.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *httpServers) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	p.edge.metrics.write(w)
}

func (p *httpServers) close() {
	for _, page := range []httpServer{p.ready, p.metrics} {
		if err := page.server.Close(); err != nil {
			p.edge.log.Error("cannot close the HTTP server", "address", page.listener.Addr().String(), "error", err.Error())
		}
	}
}
