package edge

import (
	"log/slog"
	"net/netip"

	"github.com/panjf2000/ants/v2"
	"github.com/samber/oops"
)

// maxBroadcastCalls bounds the calls that tell other hosts something at the same time: a
// host's readers and the host that it reads from.
const maxBroadcastCalls = 64

// broadcaster tells several hosts something at the same time, in the background.
type broadcaster struct {
	log  *slog.Logger
	pool *ants.Pool
}

func newBroadcaster(log *slog.Logger) (*broadcaster, error) {
	pool, err := ants.NewPool(maxBroadcastCalls, ants.WithNonblocking(true), ants.WithPanicHandler(repanic))
	if err != nil {
		return nil, oops.Code("broadcast_pool").Wrap(err)
	}
	return &broadcaster{log: log, pool: pool}, nil
}

// send makes a call to each recipient. what names the message in logs.
func (b *broadcaster) send(what string, recipients []netip.AddrPort, call func(host netip.AddrPort) error) {
	for _, host := range recipients {
		err := b.pool.Submit(func() {
			if err := call(host); err != nil {
				b.log.Info("message to another host not delivered", "message", what, "peer", host.String(), "error", err.Error())
			}
		})
		if err != nil {
			b.log.Warn("message to another host not sent; too many calls run", "message", what, "peer", host.String(), "error", err.Error())
		}
	}
}

// close drops the calls that have not started.
func (b *broadcaster) close() { b.pool.Release() }
