// Package peerlink carries questions between entry hosts about what they have read
// from the store, over net/rpc.
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

// idleTimeout closes a connection that no question used.
const idleTimeout = 30 * time.Second

// Client asks other hosts. It keeps a connection to each that it asked lately and is
// safe for concurrent use.
type Client struct {
	timeout time.Duration

	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

// link is the connection to one host.
type link struct {
	caller *netrpc.Caller
	used   time.Time
}

// NewClient returns a client whose questions fail after a timeout, that for a new
// connection included.
func NewClient(timeout time.Duration) *Client {
	return &Client{timeout: timeout, links: make(map[netip.AddrPort]*link)}
}

// Read asks a host what it has read from the store.
func (c *Client) Read(ctx context.Context, host netip.AddrPort, query peerapi.Query) (peerapi.Reply, error) {
	var reply peerapi.Reply
	err := c.call(ctx, host, peerapi.MethodRead, query, &reply)
	return reply, err
}

// StepAside asks a host whether this one may step aside.
func (c *Client) StepAside(ctx context.Context, host netip.AddrPort, query peerapi.AsideQuery) (peerapi.AsideReply, error) {
	var reply peerapi.AsideReply
	err := c.call(ctx, host, peerapi.MethodStepAside, query, &reply)
	return reply, err
}

// call asks a host. A failed question closes the connection: it may have gone silent.
func (c *Client) call(ctx context.Context, host netip.AddrPort, method string, query, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	caller, err := c.link(ctx, host)
	if err != nil {
		return oops.Code("peer_connect").With("peer", host.String()).Wrap(err)
	}
	if err := caller.Call(ctx, method, query, reply); err != nil {
		err = errors.Join(err, c.drop(host, caller))
		return oops.Code("peer_call").With("peer", host.String()).Wrap(err)
	}
	return nil
}

// link returns the connection to a host, a new one if there is none.
func (c *Client) link(ctx context.Context, host netip.AddrPort) (*netrpc.Caller, error) {
	if caller := c.use(host); caller != nil {
		return caller, nil
	}
	caller, err := netrpc.Dial(ctx, host.String())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.links[host]; other != nil {
		return other.caller, caller.Close()
	}
	c.links[host] = &link{caller: caller, used: time.Now()}
	return caller, nil
}

// use returns the connection to a host, nil for none, and closes idle ones.
func (c *Client) use(host netip.AddrPort) *netrpc.Caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, link := range c.links {
		if other != host && now.Sub(link.used) > idleTimeout {
			delete(c.links, other)
			_ = link.caller.Close()
		}
	}
	link := c.links[host]
	if link == nil {
		return nil
	}
	link.used = now
	return link.caller
}

// drop closes a connection that failed.
func (c *Client) drop(host netip.AddrPort, caller *netrpc.Caller) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link := c.links[host]; link == nil || link.caller != caller {
		return nil
	}
	delete(c.links, host)
	return caller.Close()
}

// Disconnect closes the connection to a host that is not asked any more.
func (c *Client) Disconnect(host netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link := c.links[host]; link != nil {
		delete(c.links, host)
		_ = link.caller.Close()
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, link := range c.links {
		delete(c.links, host)
		_ = link.caller.Close()
	}
}
