// Package netrpc provides what the net/rpc interfaces between processes share: a server
// that bounds its connections, and client calls that end with their context.
package netrpc

import (
	"context"
	"net"
	"net/rpc"
	"time"
)

// Caller makes calls to one server over one connection.
type Caller struct {
	conn   net.Conn
	client *rpc.Client
}

// Dial connects to the server at a TCP address. It fails when the context ends.
func Dial(ctx context.Context, address string) (*Caller, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Caller{conn: conn, client: rpc.NewClient(conn)}, nil
}

// Call makes one call. When the context ends first, Call returns the context's cause
// and the connection can't be used any more.
func (c *Caller) Call(ctx context.Context, method string, query, reply any) error {
	call := c.client.Go(method, query, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		_ = c.conn.SetDeadline(time.Unix(1, 0))
		<-call.Done
		return context.Cause(ctx)
	}
}

func (c *Caller) Close() error { return c.client.Close() }

// Call makes one call over a connection of its own.
func Call(ctx context.Context, address, method string, query, reply any) error {
	caller, err := Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = caller.Close() }()
	return caller.Call(ctx, method, query, reply)
}
