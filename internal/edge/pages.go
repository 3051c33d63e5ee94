package edge

import (
	"errors"
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
	ready   page
	metrics page
}

// page is one served address.
type page struct {
	listener net.Listener
	server   *http.Server
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
	p := &pages{edge: e}
	p.ready = newPage(ready, "GET "+platform.PathReady, p.serveReady)
	p.metrics = newPage(metrics, "GET "+pathMetrics, p.serveMetrics)
	return p, nil
}

func newPage(listener net.Listener, pattern string, handler http.HandlerFunc) page {
	mux := http.NewServeMux()
	mux.HandleFunc(pattern, handler)
	server := &http.Server{Handler: mux, ReadTimeout: pageTimeout, WriteTimeout: pageTimeout}
	return page{listener: listener, server: server}
}

// run serves until close.
func (p *pages) run() {
	go p.serve(p.metrics)
	p.serve(p.ready)
}

func (p *pages) serve(page page) {
	err := page.server.Serve(page.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		p.edge.log.Error("page not served", "address", page.listener.Addr().String(), "error", err.Error())
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
	for _, page := range []page{p.ready, p.metrics} {
		if err := page.server.Close(); err != nil {
			p.edge.log.Error("page not closed", "address", page.listener.Addr().String(), "error", err.Error())
		}
	}
}
