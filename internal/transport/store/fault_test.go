package store

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// pipeNet joins client and store by in-memory connections, so that a test runs
// in virtual time.
type pipeNet struct {
	conns chan net.Conn
	done  chan struct{}
	down  atomic.Bool
}

var errDown = errors.New("connection refused")

// dial stands for the network.
func (p *pipeNet) dial(context.Context, string, string) (net.Conn, error) {
	if p.down.Load() {
		return nil, errDown
	}
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.done:
		return nil, errDown
	}
}

// Accept implements net.Listener.
func (p *pipeNet) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipeNet) Close() error {
	select {
	case <-p.done:
	default:
		close(p.done)
	}
	return nil
}

// Addr implements net.Listener.
func (p *pipeNet) Addr() net.Addr { return &net.IPAddr{} }

// outage is a store behind a network that can fail.
type outage struct {
	store    *fakeStore
	network  *pipeNet
	client   *Client
	counters *expvar.Map
}

// underFaults runs a test in virtual time.
func underFaults(t *testing.T, settings Settings, test func(t *testing.T, o *outage)) {
	synctest.Test(t, func(t *testing.T) {
		o, stop := startOutage(settings)
		test(t, o)
		stop()
	})
}

// startOutage starts a store and a client; both end with stop.
func startOutage(settings Settings) (o *outage, stop func()) {
	o = &outage{
		store:    newFakeStore(),
		network:  &pipeNet{conns: make(chan net.Conn), done: make(chan struct{})},
		counters: new(expvar.Map),
	}
	server := &http.Server{Handler: o.store}
	go func() { _ = server.Serve(o.network) }()
	o.client = o.newClient(settings)
	return o, func() {
		o.client.Close()
		_ = server.Close()
		time.Sleep(time.Minute)
	}
}

func (o *outage) newClient(settings Settings) *Client {
	settings.Address = "http://platform"
	client := NewClient(settings, o.counters)
	client.http.Transport.(*http.Transport).DialContext = o.network.dial
	return client
}

func (o *outage) count(name string) int64 {
	if v, ok := o.counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

func hangUp(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// lostRequest drops the connection before the request runs.
func lostRequest(w http.ResponseWriter, _ *http.Request, _ func()) bool {
	hangUp(w)
	return true
}

// lostAnswer drops the connection after the request ran.
func lostAnswer(w http.ResponseWriter, _ *http.Request, run func()) bool {
	run()
	hangUp(w)
	return true
}

// slowAnswer runs the request and answers after the client has given up.
func slowAnswer(w http.ResponseWriter, _ *http.Request, run func()) bool {
	run()
	time.Sleep(2 * DefaultTimeout)
	hangUp(w)
	return true
}

// lateRun runs the request after the client has given up.
func lateRun(w http.ResponseWriter, _ *http.Request, run func()) bool {
	time.Sleep(DefaultTimeout + 10*time.Millisecond)
	run()
	hangUp(w)
	return true
}

// garbled runs the request and answers with something that is no JSON.
func garbled(w http.ResponseWriter, _ *http.Request, run func()) bool {
	run()
	_, _ = w.Write([]byte("<html>"))
	return true
}

// unavailable answers 503 without running the request.
func unavailable(w http.ResponseWriter, _ *http.Request, _ func()) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// rateLimited answers 429 without running the request.
func rateLimited(w http.ResponseWriter, _ *http.Request, _ func()) bool {
	w.Header().Set("Retry-After", "3")
	w.WriteHeader(http.StatusTooManyRequests)
	return true
}

// delayed lets the request through after a while.
func delayed(http.ResponseWriter, *http.Request, func()) bool {
	time.Sleep(DefaultTimeout / 2)
	return false
}

// healthy lets the request through.
func healthy(http.ResponseWriter, *http.Request, func()) bool { return false }

func get(key string) objects.Call { return objects.Call{Verb: objects.VerbGet, Key: key} }
