package rpc

import (
	"context"
	"encoding/gob"
	"expvar"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/protocol/rpcapi"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/transport/netrpc"
)

type testMessage struct{ Text string }

func (testMessage) ControlMessage() {}

// notControlMessage is registered with gob but doesn't implement message.Message.
type notControlMessage struct{ Text string }

func init() {
	rpcapi.RegisterMessages(message.Registration{Name: "rpc.testMessage", Message: testMessage{}})
	gob.Register(notControlMessage{})
}

type fakeOperator struct{}

func (fakeOperator) Hosts(rpcapi.Query) rpcapi.HostsReply {
	return rpcapi.HostsReply{Answering: "a"}
}
func (fakeOperator) Targets(rpcapi.Query) rpcapi.TargetsReply   { return rpcapi.TargetsReply{} }
func (fakeOperator) Flows(rpcapi.Query) rpcapi.FlowsReply       { return rpcapi.FlowsReply{} }
func (fakeOperator) Counters(rpcapi.Query) rpcapi.CountersReply { return rpcapi.CountersReply{} }

// testServer is a running server that records delivered messages.
type testServer struct {
	host      state.Host
	rpcServer *Server
	counters  *expvar.Map
	delivered chan message.Message
	// unblock blocks deliveries until it is closed.
	unblock chan struct{}
}

func startServer(t testing.TB, settings ServerSettings) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &testServer{
		host:      state.Host{ID: "b", Control: netip.MustParseAddrPort(listener.Addr().String())},
		counters:  new(expvar.Map),
		delivered: make(chan message.Message, 1024),
		unblock:   make(chan struct{}),
	}
	close(server.unblock)
	deliver := func(_ state.Host, m message.Message) {
		<-server.unblock
		server.delivered <- m
	}
	server.rpcServer, err = NewServer(settings, deliver, fakeOperator{}, server.counters)
	require.NoError(t, err)
	go func() { _ = server.rpcServer.Serve(listener) }()
	t.Cleanup(server.rpcServer.Close)
	return server
}

func newSender(t testing.TB, settings SenderSettings) (*Sender, *expvar.Map) {
	counters := new(expvar.Map)
	self := state.Host{ID: "a", Control: netip.MustParseAddrPort("127.0.0.1:1")}
	sender := NewSender(self, settings, counters)
	t.Cleanup(sender.Close)
	return sender, counters
}

func count(m *expvar.Map, name string) int64 {
	if v, ok := m.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// waitForCount waits until a counter reaches a value. The 30 s only end a run that fails.
func waitForCount(t testing.TB, m *expvar.Map, name string, want int64) {
	t.Helper()
	require.Eventually(t, func() bool { return count(m, name) >= want }, 30*time.Second, time.Millisecond, name)
}

func TestMessagesToOneHostShareAConnection(t *testing.T) {
	server := startServer(t, ServerSettings{})
	sender, counters := newSender(t, SenderSettings{})
	for range 20 {
		sender.Send(server.host, testMessage{Text: "x"})
	}
	for range 20 {
		require.Equal(t, testMessage{Text: "x"}, <-server.delivered)
	}
	waitForCount(t, counters, CountSent, 20)
	require.EqualValues(t, 1, count(counters, CountConnection))
}

func TestCloseSendsQueuedMessages(t *testing.T) {
	server := startServer(t, ServerSettings{})
	sender, counters := newSender(t, SenderSettings{})
	for range 20 {
		sender.Send(server.host, testMessage{Text: "last"})
	}
	sender.Close()
	require.EqualValues(t, 20, count(counters, CountSent))
	sender.Send(server.host, testMessage{})
	require.EqualValues(t, 1, count(counters, CountDropped+"closed"))
}

func TestFullQueueDropsMessages(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	to := state.Host{ID: "b", Control: netip.MustParseAddrPort(silent.Addr().String())}
	sender, counters := newSender(t, SenderSettings{QueueSize: 2, CallTimeout: 50 * time.Millisecond})
	for range 10 {
		sender.Send(to, testMessage{})
	}
	require.GreaterOrEqual(t, count(counters, CountDropped+"queue_full"), int64(7))
	waitForCount(t, counters, CountDropped+"timeout", 1)
}

func TestUnreachablePeerDropsQueuedMessages(t *testing.T) {
	listener, err := net.Listen("tcp", "127.1.1.1:7000")
	require.NoError(t, err)
	to := state.Host{ID: "b", Control: netip.MustParseAddrPort(listener.Addr().String())}
	require.NoError(t, listener.Close())
	sender, counters := newSender(t, SenderSettings{})
	for range 5 {
		sender.Send(to, testMessage{})
	}
	waitForCount(t, counters, CountDropped+"connect", 5)
}

func TestSenderReconnectsAfterPeerRestart(t *testing.T) {
	first := startServer(t, ServerSettings{})
	sender, counters := newSender(t, SenderSettings{})
	sender.Send(first.host, testMessage{Text: "one"})
	require.Equal(t, testMessage{Text: "one"}, <-first.delivered)
	first.rpcServer.Close()
	listener, err := net.Listen("tcp", first.host.Control.String())
	require.NoError(t, err)
	delivered := make(chan message.Message, 16)
	server, err := NewServer(ServerSettings{}, func(_ state.Host, m message.Message) { delivered <- m }, fakeOperator{}, first.counters)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	go func() { _ = server.Serve(listener) }()
	require.Eventually(t, func() bool {
		sender.Send(first.host, testMessage{Text: "two"})
		return len(delivered) > 0
	}, 30*time.Second, 5*time.Millisecond)
	require.EqualValues(t, 2, count(counters, CountConnection))
}

func TestDeliverRefusesInvalidEnvelopes(t *testing.T) {
	from := state.Host{ID: "a", Control: netip.MustParseAddrPort("127.0.0.1:1")}
	cases := map[string]struct {
		envelope rpcapi.Envelope
		reason   string
	}{
		"other version": {rpcapi.Envelope{Version: rpcapi.Version + 1, From: from, Message: testMessage{}}, "version"},
		"no message":    {rpcapi.Envelope{Version: rpcapi.Version, From: from}, "malformed"},
		"wrong type":    {rpcapi.Envelope{Version: rpcapi.Version, From: from, Message: notControlMessage{}}, "malformed"},
		"no sender":     {rpcapi.Envelope{Version: rpcapi.Version, Message: testMessage{}}, "malformed"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, ServerSettings{})
			var ack rpcapi.Ack
			err := netrpc.Call(t.Context(), server.host.Control.String(), rpcapi.MethodDeliver, c.envelope, &ack)
			require.NoError(t, err)
			require.False(t, ack.Accepted)
			require.Equal(t, c.reason, ack.Reason)
			require.EqualValues(t, 1, count(server.counters, CountRefused+c.reason))
			require.Empty(t, server.delivered)
		})
	}
}

func TestServerWithoutFreeWorkerRefuses(t *testing.T) {
	server := startServer(t, ServerSettings{Workers: 1})
	server.unblock = make(chan struct{})
	from := state.Host{ID: "a", Control: netip.MustParseAddrPort("127.0.0.1:1")}
	envelope := rpcapi.Envelope{Version: rpcapi.Version, From: from, Message: testMessage{}}
	var first, second rpcapi.Ack
	address := server.host.Control.String()
	require.NoError(t, netrpc.Call(t.Context(), address, rpcapi.MethodDeliver, envelope, &first))
	require.NoError(t, netrpc.Call(t.Context(), address, rpcapi.MethodDeliver, envelope, &second))
	close(server.unblock)
	require.True(t, first.Accepted)
	require.Equal(t, rpcapi.Ack{Reason: "busy"}, second)
}

func TestMalformedBytesCloseOnlyTheirConnection(t *testing.T) {
	server := startServer(t, ServerSettings{})
	for _, input := range []string{"\x00", "GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff\xff", "\x03\x04\x00\x00"} {
		conn, err := net.Dial("tcp", server.host.Control.String())
		require.NoError(t, err)
		_, err = conn.Write([]byte(input))
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	var reply rpcapi.HostsReply
	query := rpcapi.Query{Version: rpcapi.Version}
	require.NoError(t, netrpc.Call(t.Context(), server.host.Control.String(), rpcapi.MethodHosts, query, &reply))
	require.EqualValues(t, "a", reply.Answering)
}

func TestOperatorVersionIsChecked(t *testing.T) {
	server := startServer(t, ServerSettings{})
	for _, method := range []string{rpcapi.MethodHosts, rpcapi.MethodTargets, rpcapi.MethodFlows, rpcapi.MethodCounters} {
		err := netrpc.Call(t.Context(), server.host.Control.String(), method, rpcapi.Query{}, nil)
		require.ErrorContains(t, err, ErrVersion.Error())
		require.IsType(t, rpc.ServerError(""), err)
	}
	require.EqualValues(t, 4, count(server.counters, CountRefused+"version"))
}

func TestConnectionsAreBounded(t *testing.T) {
	server := startServer(t, ServerSettings{MaxConnections: 1})
	caller, err := netrpc.Dial(t.Context(), server.host.Control.String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	var reply rpcapi.HostsReply
	query := rpcapi.Query{Version: rpcapi.Version}
	require.NoError(t, caller.Call(t.Context(), rpcapi.MethodHosts, query, &reply))
	require.Error(t, netrpc.Call(t.Context(), server.host.Control.String(), rpcapi.MethodHosts, query, &reply))
	require.EqualValues(t, 1, count(server.counters, CountRefused+"too_many_connections"))
}

func TestCallEndsAtItsDeadline(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	err = netrpc.Call(ctx, silent.Addr().String(), rpcapi.MethodHosts, rpcapi.Query{}, nil)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written int
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written += len(p)
	return c.Conn.Write(p)
}

// BenchmarkConnection reports the memory that both ends of a connection use, and the
// bytes of the first message on a connection and of a later one.
func BenchmarkConnection(b *testing.B) {
	const connections = 300
	for b.Loop() {
		receiver := startServer(b, ServerSettings{Workers: 2 * connections})
		sender, counters := newSender(b, SenderSettings{})
		before := memoryInUse()
		for i := range connections {
			to := receiver.host
			to.ID = state.HostID(fmt.Sprint(i))
			sender.Send(to, testMessage{Text: "x"})
		}
		waitForCount(b, counters, CountSent, connections)
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")

		conn, err := net.Dial("tcp", receiver.host.Control.String())
		require.NoError(b, err)
		counted := &countingConn{Conn: conn}
		client := rpc.NewClient(counted)
		envelope := rpcapi.Envelope{Version: rpcapi.Version, From: receiver.host, Message: testMessage{Text: "x"}}
		var ack rpcapi.Ack
		require.NoError(b, client.Call(rpcapi.MethodDeliver, envelope, &ack))
		b.ReportMetric(float64(counted.written), "B/first-message")
		counted.written = 0
		require.NoError(b, client.Call(rpcapi.MethodDeliver, envelope, &ack))
		b.ReportMetric(float64(counted.written), "B/next-message")
		require.NoError(b, client.Close())
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
