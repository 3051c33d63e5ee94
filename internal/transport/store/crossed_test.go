package store

import (
	"bufio"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// answerTwice serves a connection: each get is answered with the name of its object, and
// the answer to the first request is sent again just before the second one arrives at the
// server's handler.
func answerTwice(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var first string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := fmt.Sprintf(`{"key":%q,"version":1,"revision":1,"value":1}`, strings.TrimPrefix(request.URL.Path, "/v1/objects/"))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if first != "" {
			answer = first + answer
		}
		first = answer
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// serveConns accepts connections on loopback until the end of the test and returns the
// address.
func serveConns(t *testing.T, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// A second copy of an answer that arrives when its connection is in use again would be
// taken for the answer to the next call.
func TestSecondCopyOfAnAnswerReachesNoOtherCall(t *testing.T) {
	address := serveConns(t, answerTwice)
	client := NewClient(Settings{Address: "http://" + address, Timeout: time.Second}, new(expvar.Map))
	defer client.Close()
	for _, key := range []string{"release/first", "release/second", "release/third"} {
		outcome := client.Do(t.Context(), objects.Call{Verb: objects.VerbGet, Key: key})
		require.Equal(t, objects.ResultOK, outcome.Result)
		require.True(t, strings.HasSuffix(outcome.Object.Key, key), "%s got %s", key, outcome.Object.Key)
	}
}

// An answer cut at any byte, of known length or not, is no answer.
func TestAnswerThatBreaksOffIsNotComplete(t *testing.T) {
	body := `{"key":"release/first","version":1,"revision":1,"value":1}`
	heads := map[string]string{
		"length":           fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)),
		"until the end":    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"chunk not closed": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(body)),
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for cut := range len(body) {
				address := serveConns(t, func(conn net.Conn) {
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = conn.Write([]byte(head + body[:cut]))
					_ = conn.Close()
				})
				client := NewClient(Settings{Address: "http://" + address, Timeout: time.Second, MaxAttempts: 1}, new(expvar.Map))
				outcome := client.Do(t.Context(), objects.Call{Verb: objects.VerbGet, Key: "release/first"})
				require.Equal(t, objects.ResultUnknown, outcome.Result, "cut after %d bytes", cut)
				client.Close()
			}
		})
	}
}
