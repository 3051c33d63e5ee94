package netrpc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testTimeout bounds the waits of these tests.
const testTimeout = 5 * time.Second

// doubler replies with twice the number. If silent is set, it replies only once silent is
// closed.
type doubler struct{ silent chan struct{} }

// Of is the method that the tests call as Double.Of.
func (d *doubler) Of(number int, reply *int) error {
	if d.silent != nil {
		<-d.silent
	}
	*reply = 2 * number
	return nil
}

func startServer(t *testing.T, settings ServerSettings, receiver any) (*Server, string) {
	server, err := NewServer(settings, Service{Name: "Double", Receiver: receiver})
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return server, listener.Addr().String()
}

func TestCallReturnsReply(t *testing.T) {
	_, address := startServer(t, ServerSettings{}, &doubler{})
	var reply int
	require.NoError(t, Call(t.Context(), address, "Double.Of", 21, &reply))
	require.Equal(t, 42, reply)
}

func TestCallEndsWithItsContext(t *testing.T) {
	silent := make(chan struct{})
	defer close(silent)
	_, address := startServer(t, ServerSettings{}, &doubler{silent: silent})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	require.ErrorIs(t, Call(ctx, address, "Double.Of", 1, new(int)), context.DeadlineExceeded)
	require.Less(t, time.Since(start), testTimeout)
}

func TestConnectionsAboveTheLimitAreRefused(t *testing.T) {
	var refused atomic.Int64
	_, address := startServer(t, ServerSettings{MaxConnections: 1, OnRefused: func() { refused.Add(1) }}, &doubler{})
	first, err := Dial(t.Context(), address)
	require.NoError(t, err)
	var reply int
	require.NoError(t, first.Call(t.Context(), "Double.Of", 1, &reply))
	require.Error(t, Call(t.Context(), address, "Double.Of", 1, &reply))
	require.EqualValues(t, 1, refused.Load())
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool { return Call(t.Context(), address, "Double.Of", 1, &reply) == nil }, testTimeout, time.Millisecond)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	_, address := startServer(t, ServerSettings{IdleTimeout: 50 * time.Millisecond}, &doubler{})
	caller, err := Dial(t.Context(), address)
	require.NoError(t, err)
	require.NoError(t, caller.Call(t.Context(), "Double.Of", 1, new(int)))
	time.Sleep(200 * time.Millisecond)
	require.Error(t, caller.Call(t.Context(), "Double.Of", 1, new(int)))
}

func TestServiceWithoutMethodsIsRejected(t *testing.T) {
	_, err := NewServer(ServerSettings{}, Service{Name: "Empty", Receiver: struct{}{}})
	require.Error(t, err)
}

func TestClosedServerAcceptsNoConnections(t *testing.T) {
	server, address := startServer(t, ServerSettings{}, &doubler{})
	require.NoError(t, Call(t.Context(), address, "Double.Of", 1, new(int)))
	server.Close()
	require.Error(t, Call(t.Context(), address, "Double.Of", 1, new(int)))
}
