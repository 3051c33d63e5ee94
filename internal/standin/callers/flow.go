package callers

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/wire"
)

const (
	// maxRefusals is the number of refusals after which a flow stops reopening
	// and counts as refused.
	maxRefusals = 50
	// defaultRetryAfter is the wait after a refusal without a retry time.
	defaultRetryAfter = time.Second
	// lingerTime is how long an ended flow stays, to answer a retransmitted FIN.
	lingerTime = time.Second
	// closeTimeout is how long an ended flow waits for its TCP connection to
	// close.
	closeTimeout = 5 * time.Second
)

// inboundPacket is a decoded packet for a flow.
type inboundPacket struct {
	packet wire.Packet
	// refusal reports whether an entry host refused the flow. retryAfter is the
	// wait that the refusal asks for, or 0. If the refusal is an ICMP message,
	// packet holds only the protocol and the addresses.
	refusal    bool
	retryAfter time.Duration
}

// flow is a TCP or UDP flow of a caller. It is used by one worker only.
type flow interface {
	// address returns the caller's address, which changes each time the flow is
	// reopened.
	address() netip.AddrPort
	service() netip.AddrPort
	receive(now time.Time, a inboundPacket)
	tick(now time.Time)
	// abort marks the flow as broken because the run ends, unless it is done.
	abort()
	// done reports whether the outcome is known.
	done() bool
	// removable reports whether the flow needs no more packets.
	removable(now time.Time) bool
}

// baseFlow is the common part of TCP and UDP flows.
type baseFlow struct {
	worker   *worker
	stats    *groupStats
	requests requestSequence
	caller   netip.AddrPort
	refusals int
	// reopenAt is when a refused flow is reopened, or zero if it isn't waiting
	// for that.
	reopenAt time.Time
	ended    bool
	endedAt  time.Time
}

func newBaseFlow(w *worker, group *Group, t *groupStats, now time.Time) baseFlow {
	t.report.Flows++
	return baseFlow{worker: w, stats: t, requests: newRequestSequence(group, now)}
}

func (c *baseFlow) address() netip.AddrPort { return c.caller }
func (c *baseFlow) service() netip.AddrPort { return c.requests.group.Service }
func (c *baseFlow) done() bool              { return c.ended }

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

// scheduleReopen counts a refusal and schedules the next attempt to open the
// flow, or ends the flow as refused after maxRefusals.
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

// reopen moves the flow to a new caller address.
func (c *baseFlow) reopen() {
	c.reopenAt = time.Time{}
	old := c.caller
	c.caller = c.worker.newCallerAddress(c.service().Addr())
	c.worker.changeAddress(old, c.caller)
}
