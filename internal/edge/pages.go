package edge

import (
	"net"
	"net/http"
	"time"

	"github.com/guavawharf/guavawharf/platform"
	"github.com/samber/oops"
)

// pathMetrics is where the counters are served.
const pathMetrics = "/metrics"

// pageTimeout bounds one request for a page.
const pageTimeout = 5 * time.Second

// pages serves whether the host takes traffic, and the counters.
type pages struct {
	edge    *Edge
	ready   net.Listener
	metrics net.Listener
}

func openPages(e *Edge) (*pages, error) {
	ready, err := net.Listen("tcp", e.settings.Ready.String())
	if err != nil {
		return nil, oops.Code("ready_listen").Wrap(err)
	}
	metrics, err := net.Listen("tcp", e.settings.Metrics.String())
	if err != nil {
		_ = ready.Close()
		return nil, oops.Code("metrics_listen").Wrap(err)
	}
	return &pages{edge: e, ready: ready, metrics: metrics}, nil
}

// run serves until close.
func (p *pages) run() {
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+platform.PathReady, p.serveReady)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET "+pathMetrics, p.serveMetrics)
	go p.serve(p.metrics, metricsMux)
	p.serve(p.ready, readyMux)
}

func (p *pages) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadTimeout: pageTimeout, WriteTimeout: pageTimeout}
	if err := server.Serve(listener); err != nil && !isClosed(err) {
		p.edge.log.Error("page not served", "address", listener.Addr().String(), "error", err.Error())
	}
}

func (p *pages) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.edge.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *pages) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	p.edge.metrics.write(w)
}

func (p *pages) close() {
	_ = p.ready.Close()
	_ = p.metrics.Close()
}
