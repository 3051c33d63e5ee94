// Package peerlink lets entry hosts read from each other, over net/rpc, the objects that
// they have read from the store.
package peerlink

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/transport/netrpc"
)

// idleTimeout is how long a connection may be unused before the client closes it.
const idleTimeout = 30 * time.Second

// Client makes calls to other hosts. It keeps the connections to hosts that it called
// within idleTimeout and is safe for concurrent use.
type Client struct {
	timeout time.Duration

	mu    sync.Mutex
	conns map[netip.AddrPort]*hostConn
}

// hostConn is the connection to one host.
type hostConn struct {
	caller   *netrpc.Caller
	lastUsed time.Time
}

// NewClient returns a client whose calls fail after the timeout, which includes the time
// to connect.
func NewClient(timeout time.Duration) *Client {
	return &Client{timeout: timeout, conns: make(map[netip.AddrPort]*hostConn)}
}

// Read reads from a host the objects that it has read from the store.
func (c *Client) Read(ctx context.Context, host netip.AddrPort, query peerapi.Query) (peerapi.Reply, error) {
	var reply peerapi.Reply
	err := c.call(ctx, host, peerapi.MethodRead, query, &reply)
	return reply, err
}

// StepAside asks a host whether this overloaded host may step aside.
func (c *Client) StepAside(ctx context.Context, host netip.AddrPort, query peerapi.StepAsideQuery) (peerapi.StepAsideReply, error) {
	var reply peerapi.StepAsideReply
	err := c.call(ctx, host, peerapi.MethodStepAside, query, &reply)
	return reply, err
}

// Report tells a host that targets were found down.
func (c *Client) Report(ctx context.Context, host netip.AddrPort, report peerapi.Report) error {
	return c.call(ctx, host, peerapi.MethodReport, report, new(peerapi.ReportReply))
}

// Notify tells a host that objects have changed.
func (c *Client) Notify(ctx context.Context, host netip.AddrPort, notice peerapi.Notice) error {
	return c.call(ctx, host, peerapi.MethodNotify, notice, new(peerapi.NoticeReply))
}

// call makes one call to a host. A failed call closes the connection, since the host may
// no longer respond on it.
func (c *Client) call(ctx context.Context, host netip.AddrPort, method string, query, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	caller, err := c.connect(ctx, host)
	if err != nil {
		return oops.Code("peer_connect").With("peer", host.String()).Wrap(err)
	}
	if err := caller.Call(ctx, method, query, reply); err != nil {
		err = errors.Join(err, c.closeFailed(host, caller))
		return oops.Code("peer_call").With("peer", host.String()).Wrap(err)
	}
	return nil
}

// connect returns the connection to a host and opens one if there is none.
func (c *Client) connect(ctx context.Context, host netip.AddrPort) (*netrpc.Caller, error) {
	if caller := c.cachedConn(host); caller != nil {
		return caller, nil
	}
	caller, err := netrpc.Dial(ctx, host.String())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[host]; other != nil {
		return other.caller, caller.Close()
	}
	c.conns[host] = &hostConn{caller: caller, lastUsed: time.Now()}
	return caller, nil
}

// cachedConn returns the connection to a host, or nil if there is none. It closes the
// connections to other hosts that have been idle for longer than idleTimeout.
func (c *Client) cachedConn(host netip.AddrPort) *netrpc.Caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, conn := range c.conns {
		if other != host && now.Sub(conn.lastUsed) > idleTimeout {
			delete(c.conns, other)
			_ = conn.caller.Close()
		}
	}
	conn := c.conns[host]
	if conn == nil {
		return nil
	}
	conn.lastUsed = now
	return conn.caller
}

// closeFailed closes a connection after a failed call, unless it was closed already.
func (c *Client) closeFailed(host netip.AddrPort, caller *netrpc.Caller) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[host]; conn == nil || conn.caller != caller {
		return nil
	}
	delete(c.conns, host)
	return caller.Close()
}

// Disconnect closes the connection to a host that will not be called any more.
func (c *Client) Disconnect(host netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[host]; conn != nil {
		delete(c.conns, host)
		_ = conn.caller.Close()
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, conn := range c.conns {
		delete(c.conns, host)
		_ = conn.caller.Close()
	}
}
