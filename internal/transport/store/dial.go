package store

import (
	"context"
	"errors"
	"net"
	"time"
)

// firstDialTimeout is how long the first attempt to connect may take; each further one may
// take twice as long. TCP itself sends a lost SYN again only after a second.
const firstDialTimeout = 100 * time.Millisecond

// redialer opens connections and starts over when one is not established soon.
type redialer struct {
	// timeout bounds all attempts together.
	timeout time.Duration
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

// dialContext opens a connection. It gives up when an attempt fails other than by its
// timeout, or when no time is left.
func (r *redialer) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	for timeout := firstDialTimeout; ; timeout *= 2 {
		conn, err := r.dialWithin(ctx, timeout, network, address)
		if err == nil || ctx.Err() != nil || !isTimeout(err) {
			return conn, err
		}
	}
}

func (r *redialer) dialWithin(ctx context.Context, timeout time.Duration, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.dial(ctx, network, address)
}

func isTimeout(err error) bool {
	var networkError net.Error
	return errors.As(err, &networkError) && networkError.Timeout()
}
