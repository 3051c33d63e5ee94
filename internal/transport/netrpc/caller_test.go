package netrpc

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// doublingCodec sends each answer of a server a second time, just before the next one.
type doublingCodec struct {
	conn    net.Conn
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	last    *rpc.Response
	body    any
}

func newDoublingCodec(conn net.Conn) *doublingCodec {
	buffer := bufio.NewWriter(conn)
	return &doublingCodec{conn: conn, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(buffer), buffer: buffer}
}

func (c *doublingCodec) ReadRequestHeader(r *rpc.Request) error { return c.decoder.Decode(r) }
func (c *doublingCodec) ReadRequestBody(body any) error         { return c.decoder.Decode(body) }
func (c *doublingCodec) Close() error                           { return c.conn.Close() }

func (c *doublingCodec) WriteResponse(r *rpc.Response, body any) error {
	if c.last != nil {
		if err := c.write(c.last, c.body); err != nil {
			return err
		}
	}
	copied := *r
	c.last, c.body = &copied, body
	return c.write(r, body)
}

func (c *doublingCodec) write(r *rpc.Response, body any) error {
	if err := c.encoder.Encode(r); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	return c.buffer.Flush()
}

// Echo returns what it is asked, unless it is asked to be late.
type Echo struct{}

// Get answers a query with itself; the query "late" after 50 ms.
func (Echo) Get(query string, reply *string) error {
	if query == "late" {
		time.Sleep(50 * time.Millisecond)
	}
	*reply = query
	return nil
}

// net/rpc numbers calls and answers, so the connection may be used again.
func TestSecondCopyOfAnAnswerReachesNoOtherCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	server := rpc.NewServer()
	require.NoError(t, server.Register(Echo{}))
	go func() {
		if conn, err := listener.Accept(); err == nil {
			server.ServeCodec(newDoublingCodec(conn))
		}
	}()
	caller, err := Dial(t.Context(), listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	for _, query := range []string{"first", "second", "third"} {
		var reply string
		require.NoError(t, caller.Call(t.Context(), "Echo.Get", query, &reply))
		require.Equal(t, query, reply)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	var late, next string
	require.ErrorIs(t, caller.Call(ctx, "Echo.Get", "late", &late), context.DeadlineExceeded)
	require.Error(t, caller.Call(t.Context(), "Echo.Get", "next", &next), "a connection with an answer under way is not used again")
	require.Empty(t, next)
}
