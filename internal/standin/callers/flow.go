package callers

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/wire"
)

const (
	// maxRefusals is how often a flow comes back before it is refused for good.
	maxRefusals = 50
	// defaultRetryAfter is the wait after a refusal that names no time.
	defaultRetryAfter = time.Second
	// lingerTime is how long a finished flow answers a repeated FIN.
	lingerTime = time.Second
	// closeTimeout is how long a whole flow waits for its close.
	closeTimeout = 5 * time.Second
)

// inboundPacket is a packet that reached its caller.
type inboundPacket struct {
	packet wire.Packet
	// refusal is true for refusals of entry hosts, which name a retryAfter. The
	// packet of an ICMP refusal holds no more than the addresses.
	refusal    bool
	retryAfter time.Duration
}

// flow is one flow of a caller. A worker owns it.
type flow interface {
	// address is the caller's address; it changes with each opening.
	address() netip.AddrPort
	service() netip.AddrPort
	receive(now time.Time, a inboundPacket)
	tick(now time.Time)
	// abort breaks the flow at the end of the run.
	abort()
	// done tells whether the outcome is known, gone whether the flow needs
	// no more packets.
	done() bool
	removable(now time.Time) bool
}

// baseFlow is what TCP and UDP flows have in common.
type baseFlow struct {
	worker   *worker
	stats    *groupStats
	requests   requestSequence
	caller   netip.AddrPort
	refusals int
	// reopenAt is when a refused flow opens again; zero while it is open.
	reopenAt time.Time
	ended  bool
	endedAt  time.Time
}

func newBaseFlow(w *worker, group *Group, t *groupStats, now time.Time) baseFlow {
	t.report.Flows++
	return baseFlow{worker: w, stats: t, requests: newRequestSequence(group, now)}
}

func (c *baseFlow) address() netip.AddrPort { return c.caller }
func (c *baseFlow) service() netip.AddrPort { return c.requests.group.Service }
func (c *baseFlow) done() bool           { return c.ended }

func (c *baseFlow) abort() { c.markBroken(CauseUnfinished) }

func (c *baseFlow) markBroken(cause Cause) {
	if !c.ended {
		c.stats.broken[cause]++
		c.markEnded()
		c.worker.recordBroken(BrokenFlow{
			Group:     c.requests.group.Name,
			Caller:    c.caller,
			Cause:     cause,
			After:     c.endedAt.Sub(c.worker.startedAt),
			Exchanges: c.requests.group.Exchanges - c.requests.remaining,
		})
	}
}

func (c *baseFlow) markAnswered() {
	if !c.ended {
		c.stats.report.Answered++
		c.markEnded()
	}
}

func (c *baseFlow) markEnded() {
	c.ended = true
	c.endedAt = time.Now()
}

// scheduleReopen schedules the next opening, or gives up.
func (c *baseFlow) scheduleReopen(now time.Time, retryAfter time.Duration) {
	c.refusals++
	c.stats.report.Refusals++
	if retryAfter <= 0 {
		c.stats.report.RefusalsWithoutRetryAfter++
		retryAfter = defaultRetryAfter
	}
	if c.refusals >= maxRefusals {
		c.stats.report.Refused++
		c.markEnded()
		return
	}
	spread := time.Duration(c.worker.random.Int64N(int64(retryAfter)/4 + 1))
	c.reopenAt = now.Add(retryAfter + spread)
}

func (c *baseFlow) reopenDue(now time.Time) bool {
	return !c.reopenAt.IsZero() && !now.Before(c.reopenAt)
}

// reopen takes a new caller address.
func (c *baseFlow) reopen() {
	c.reopenAt = time.Time{}
	old := c.caller
	c.caller = c.worker.newCallerAddress(c.service().Addr())
	c.worker.changeAddress(old, c.caller)
}
