package peerlink

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// testTimeout is the timeout of calls that are expected to succeed.
const testTimeout = 5 * time.Second

// echoHandler answers each read with the revision of the query.
type echoHandler struct{}

func (echoHandler) Read(query peerapi.Query) peerapi.Reply {
	var reply peerapi.Reply
	for _, read := range query.Reads {
		reply.Answers = append(reply.Answers, peerapi.Answer{
			Known: true, Age: time.Second, Page: objects.Page{Revision: read.After},
		})
	}
	return reply
}

func (echoHandler) Report(peerapi.Report) {}
func (echoHandler) Notify(peerapi.Notice) {}

func (echoHandler) StepAside(peerapi.StepAsideQuery) peerapi.StepAsideReply {
	return peerapi.StepAsideReply{For: time.Second}
}

// startServer starts a server and returns it with its address.
func startServer(t testing.TB) (*Server, netip.AddrPort) {
	server, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), echoHandler{})
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Close)
	return server, netip.MustParseAddrPort(server.listener.Addr().String())
}

func readQuery(after uint64) peerapi.Query {
	return peerapi.Query{Version: peerapi.Version, Reads: []peerapi.Read{{Kind: "targets", After: after}}}
}

func TestCallsShareOneConnection(t *testing.T) {
	_, address := startServer(t)
	client := NewClient(testTimeout)
	defer client.Close()
	for after := range uint64(3) {
		reply, err := client.Read(t.Context(), address, readQuery(after))
		require.NoError(t, err)
		require.Len(t, reply.Answers, 1)
		require.Equal(t, after, reply.Answers[0].Page.Revision)
	}
	aside, err := client.StepAside(t.Context(), address, peerapi.StepAsideQuery{Version: peerapi.Version})
	require.NoError(t, err)
	require.Equal(t, time.Second, aside.For)
	require.Len(t, client.conns, 1)
}

func TestOtherVersionGetsEmptyReply(t *testing.T) {
	_, address := startServer(t)
	client := NewClient(testTimeout)
	defer client.Close()
	query := readQuery(1)
	query.Version++
	reply, err := client.Read(t.Context(), address, query)
	require.NoError(t, err)
	require.Empty(t, reply.Answers)
}

// A host that accepts the connection but never responds must not block the call, nor the
// calls after it.
func TestCallToSilentHostTimesOut(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	const timeout = 100 * time.Millisecond
	client := NewClient(timeout)
	defer client.Close()
	address := netip.MustParseAddrPort(silent.Addr().String())
	for range 2 {
		start := time.Now()
		_, err = client.Read(context.Background(), address, readQuery(1))
		require.Error(t, err)
		require.Less(t, time.Since(start), testTimeout)
		require.Empty(t, client.conns, "the failed connection must be removed")
	}
}

func TestClientReconnectsAfterServerRestart(t *testing.T) {
	server, address := startServer(t)
	client := NewClient(testTimeout)
	defer client.Close()
	_, err := client.Read(t.Context(), address, readQuery(1))
	require.NoError(t, err)
	server.Close()
	_, err = client.Read(t.Context(), address, readQuery(1))
	require.Error(t, err)
	restarted, err := Listen(address, echoHandler{})
	require.NoError(t, err)
	defer restarted.Close()
	go func() { _ = restarted.Serve() }()
	_, err = client.Read(t.Context(), address, readQuery(2))
	require.NoError(t, err)
}

// BenchmarkRead measures one call, both ends included.
func BenchmarkRead(b *testing.B) {
	_, address := startServer(b)
	client := NewClient(testTimeout)
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		_, err := client.Read(b.Context(), address, readQuery(1))
		require.NoError(b, err)
	}
}

// BenchmarkReadOverNewConnection measures one call that opens a new connection.
func BenchmarkReadOverNewConnection(b *testing.B) {
	_, address := startServer(b)
	b.ReportAllocs()
	for b.Loop() {
		client := NewClient(testTimeout)
		_, err := client.Read(b.Context(), address, readQuery(1))
		require.NoError(b, err)
		client.Close()
	}
}
