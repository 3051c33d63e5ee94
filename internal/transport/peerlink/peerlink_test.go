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

// patience is the timeout of questions that are answered.
const patience = 5 * time.Second

// echo answers with the revision that it was asked about.
type echo struct{}

func (echo) Read(query peerapi.Query) peerapi.Reply {
	var reply peerapi.Reply
	for _, read := range query.Reads {
		reply.Answers = append(reply.Answers, peerapi.Answer{
			Known: true, Age: time.Second, Page: objects.Page{Revision: read.After},
		})
	}
	return reply
}

func (echo) StepAside(peerapi.StepAsideQuery) peerapi.StepAsideReply {
	return peerapi.StepAsideReply{For: time.Second}
}

// serve starts a server and returns its address.
func serve(t testing.TB) (*Server, netip.AddrPort) {
	server, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), echo{})
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Close)
	return server, netip.MustParseAddrPort(server.listener.Addr().String())
}

func ask(after uint64) peerapi.Query {
	return peerapi.Query{Version: peerapi.Version, Reads: []peerapi.Read{{Kind: "targets", After: after}}}
}

func TestAHostAnswersOverOneConnection(t *testing.T) {
	_, address := serve(t)
	client := NewClient(patience)
	defer client.Close()
	for after := range uint64(3) {
		reply, err := client.Read(t.Context(), address, ask(after))
		require.NoError(t, err)
		require.Len(t, reply.Answers, 1)
		require.Equal(t, after, reply.Answers[0].Page.Revision)
	}
	aside, err := client.StepAside(t.Context(), address, peerapi.StepAsideQuery{Version: peerapi.Version})
	require.NoError(t, err)
	require.Equal(t, time.Second, aside.For)
	require.Len(t, client.links, 1)
}

func TestAnotherVersionGetsNoAnswers(t *testing.T) {
	_, address := serve(t)
	client := NewClient(patience)
	defer client.Close()
	query := ask(1)
	query.Version++
	reply, err := client.Read(t.Context(), address, query)
	require.NoError(t, err)
	require.Empty(t, reply.Answers)
}

// A host that takes the connection and is silent must not hold the question, nor
// the ones after it.
func TestASilentHostFailsWithinTheTimeout(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	const timeout = 100 * time.Millisecond
	client := NewClient(timeout)
	defer client.Close()
	address := netip.MustParseAddrPort(silent.Addr().String())
	for range 2 {
		began := time.Now()
		_, err = client.Read(context.Background(), address, ask(1))
		require.Error(t, err)
		require.Less(t, time.Since(began), patience)
		require.Empty(t, client.links, "the connection is given up")
	}
}

func TestAHostThatCameBackIsAskedAnew(t *testing.T) {
	server, address := serve(t)
	client := NewClient(patience)
	defer client.Close()
	_, err := client.Read(t.Context(), address, ask(1))
	require.NoError(t, err)
	server.Close()
	_, err = client.Read(t.Context(), address, ask(1))
	require.Error(t, err)
	again, err := Listen(address, echo{})
	require.NoError(t, err)
	defer again.Close()
	go func() { _ = again.Serve() }()
	_, err = client.Read(t.Context(), address, ask(2))
	require.NoError(t, err)
}

// BenchmarkQuestion is one question with its answer, both ends included.
func BenchmarkQuestion(b *testing.B) {
	_, address := serve(b)
	client := NewClient(patience)
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		_, err := client.Read(b.Context(), address, ask(1))
		require.NoError(b, err)
	}
}

// BenchmarkFirstQuestion is one over a new connection.
func BenchmarkFirstQuestion(b *testing.B) {
	_, address := serve(b)
	b.ReportAllocs()
	for b.Loop() {
		client := NewClient(patience)
		_, err := client.Read(b.Context(), address, ask(1))
		require.NoError(b, err)
		client.Close()
	}
}
