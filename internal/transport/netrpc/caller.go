// Package netrpc holds what every net/rpc interface between processes needs: a
// server that bounds its connections, and calls that end at a deadline.
package netrpc

import (
	"context"
	"net"
	"net/rpc"
	"time"
)

// Caller makes calls to one entry host over one connection.
type Caller struct {
	conn   net.Conn
	client *rpc.Client
}

// Dial connects to the control address of an entry host. It fails once the
// context ends.
func Dial(ctx context.Context, address string) (*Caller, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Caller{conn: conn, client: rpc.NewClient(conn)}, nil
}

// Call makes one call that ends at the context's deadline or cancellation; the
// connection is of no use after that.
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

// Close closes the connection.
func (c *Caller) Close() error { return c.client.Close() }

// Call dials, makes one call and closes.
func Call(ctx context.Context, address, method string, query, reply any) error {
	caller, err := Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = caller.Close() }()
	return caller.Call(ctx, method, query, reply)
}
