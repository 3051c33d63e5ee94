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

// pipeNetwork joins client and store by in-memory connections, so that a test runs
// in virtual time.
type pipeNetwork struct {
	conns chan net.Conn
	done  chan struct{}
	down  atomic.Bool
}

var errRefused = errors.New("connection refused")

// dial stands for the network.
func (p *pipeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	if p.down.Load() {
		return nil, errRefused
	}
	clientConn, serverConn := net.Pipe()
	select {
	case p.conns <- serverConn:
		return clientConn, nil
	case <-p.done:
		return nil, errRefused
	}
}

// Accept implements net.Listener.
func (p *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipeNetwork) Close() error {
	select {
	case <-p.done:
	default:
		close(p.done)
	}
	return nil
}

// Addr implements net.Listener.
func (p *pipeNetwork) Addr() net.Addr { return &net.IPAddr{} }

// faultEnv is a store behind a network that can fail.
type faultEnv struct {
	store    *fakeStore
	network  *pipeNetwork
	client   *Client
	counters *expvar.Map
}

// withFaults runs a test in virtual time.
func withFaults(t *testing.T, settings Settings, test func(t *testing.T, env *faultEnv)) {
	synctest.Test(t, func(t *testing.T) {
		o, stop := startFaultEnv(settings)
		test(t, o)
		stop()
	})
}

// startFaultEnv starts a store and a client; both end with stop.
func startFaultEnv(settings Settings) (env *faultEnv, stop func()) {
	env = &faultEnv{
		store:    newFakeStore(),
		network:  &pipeNetwork{conns: make(chan net.Conn), done: make(chan struct{})},
		counters: new(expvar.Map),
	}
	server := &http.Server{Handler: env.store}
	go func() { _ = server.Serve(env.network) }()
	env.client = env.newClient(settings)
	return env, func() {
		env.client.Close()
		_ = server.Close()
		time.Sleep(time.Minute)
	}
}

func (env *faultEnv) newClient(settings Settings) *Client {
	settings.Address = "http://platform"
	client := NewClient(settings, env.counters)
	client.http.Transport.(*http.Transport).DialContext = env.network.dial
	return client
}

func (env *faultEnv) count(name string) int64 {
	if v, ok := env.counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

func closeConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// lostRequest drops the connection before the request runs.
func lostRequest(w http.ResponseWriter, _ *http.Request, _ func()) bool {
	closeConnection(w)
	return true
}

// lostResponse drops the connection after the request ran.
func lostResponse(w http.ResponseWriter, _ *http.Request, run func()) bool {
	run()
	closeConnection(w)
	return true
}

// slowResponse runs the request and answers after the client has given up.
func slowResponse(w http.ResponseWriter, _ *http.Request, run func()) bool {
	run()
	time.Sleep(2 * DefaultTimeout)
	closeConnection(w)
	return true
}

// lateExecution runs the request after the client has given up.
func lateExecution(w http.ResponseWriter, _ *http.Request, run func()) bool {
	time.Sleep(DefaultTimeout + 10*time.Millisecond)
	run()
	closeConnection(w)
	return true
}

// malformedResponse runs the request and answers with something that is no JSON.
func malformedResponse(w http.ResponseWriter, _ *http.Request, run func()) bool {
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

// noFault lets the request through.
func noFault(http.ResponseWriter, *http.Request, func()) bool { return false }

func get(key string) objects.Call { return objects.Call{Verb: objects.VerbGet, Key: key} }
