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

// pipeNetwork connects client and store by in-memory connections, so that a test can run
// in virtual time.
type pipeNetwork struct {
	conns chan net.Conn
	done  chan struct{}
	down  atomic.Bool
}

var errRefused = errors.New("connection refused")

// dial opens an in-memory connection to the store, or fails while the network is down.
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

// faultEnv is a client and a store with injected faults, connected by a network that can
// fail.
type faultEnv struct {
	store    *fakeStore
	network  *pipeNetwork
	client   *Client
	counters *expvar.Map
}

// withFaults runs a test with a faultEnv in virtual time.
func withFaults(t *testing.T, settings Settings, test func(t *testing.T, env *faultEnv)) {
	synctest.Test(t, func(t *testing.T) {
		env, stop := startFaultEnv(settings)
		test(t, env)
		stop()
	})
}

// startFaultEnv starts a store and a client; stop ends both.
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

// lostRequest closes the connection without executing the request.
func lostRequest(w http.ResponseWriter, _ *http.Request, _ func()) bool {
	closeConnection(w)
	return true
}

// lostResponse executes the request and closes the connection without a response.
func lostResponse(w http.ResponseWriter, _ *http.Request, run func()) bool {
	run()
	closeConnection(w)
	return true
}

// slowResponse executes the request and sends no response until the client has timed out.
func slowResponse(w http.ResponseWriter, _ *http.Request, run func()) bool {
	run()
	time.Sleep(2 * DefaultTimeout)
	closeConnection(w)
	return true
}

// lateExecution executes the request after the client has timed out.
func lateExecution(w http.ResponseWriter, _ *http.Request, run func()) bool {
	time.Sleep(DefaultTimeout + 10*time.Millisecond)
	run()
	closeConnection(w)
	return true
}

// malformedResponse executes the request and sends a body that is not JSON.
func malformedResponse(w http.ResponseWriter, _ *http.Request, run func()) bool {
	run()
	_, _ = w.Write([]byte("<html>"))
	return true
}

// unavailable responds with 503 without executing the request.
func unavailable(w http.ResponseWriter, _ *http.Request, _ func()) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// rateLimited responds with 429 without executing the request.
func rateLimited(w http.ResponseWriter, _ *http.Request, _ func()) bool {
	w.Header().Set("Retry-After", "3")
	w.WriteHeader(http.StatusTooManyRequests)
	return true
}

// delayed lets the request through after half the client's timeout.
func delayed(http.ResponseWriter, *http.Request, func()) bool {
	time.Sleep(DefaultTimeout / 2)
	return false
}

// noFault lets the request through unchanged.
func noFault(http.ResponseWriter, *http.Request, func()) bool { return false }

func get(key string) objects.Call { return objects.Call{Verb: objects.VerbGet, Key: key} }
