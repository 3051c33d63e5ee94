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
	receive(now time.Time, in inboundPacket)
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

func newBaseFlow(w *worker, group *Group, stats *groupStats, now time.Time) baseFlow {
	stats.report.Flows++
	return baseFlow{worker: w, stats: stats, requests: newRequestSequence(group, now)}
}

func (b *baseFlow) address() netip.AddrPort { return b.caller }
func (b *baseFlow) service() netip.AddrPort { return b.requests.group.Service }
func (b *baseFlow) done() bool              { return b.ended }

func (b *baseFlow) abort() { b.markBroken(CauseUnfinished) }

func (b *baseFlow) markBroken(cause Cause) {
	if !b.ended {
		b.stats.broken[cause]++
		b.markEnded()
		b.worker.recordBroken(BrokenFlow{
			Group:     b.requests.group.Name,
			Caller:    b.caller,
			Cause:     cause,
			After:     b.endedAt.Sub(b.worker.startedAt),
			Exchanges: b.requests.group.Exchanges - b.requests.remaining,
		})
	}
}

func (b *baseFlow) markAnswered() {
	if !b.ended {
		b.stats.report.Answered++
		b.markEnded()
	}
}

func (b *baseFlow) markEnded() {
	b.ended = true
	b.endedAt = time.Now()
}

// scheduleReopen counts a refusal and schedules the next attempt to open the
// flow, or ends the flow as refused after maxRefusals.
func (b *baseFlow) scheduleReopen(now time.Time, retryAfter time.Duration) {
	b.refusals++
	b.stats.report.Refusals++
	if retryAfter <= 0 {
		b.stats.report.RefusalsWithoutRetryAfter++
		retryAfter = defaultRetryAfter
	}
	if b.refusals >= maxRefusals {
		b.stats.report.Refused++
		b.markEnded()
		return
	}
	jitter := time.Duration(b.worker.random.Int64N(int64(retryAfter)/4 + 1))
	b.reopenAt = now.Add(retryAfter + jitter)
}

func (b *baseFlow) reopenDue(now time.Time) bool {
	return !b.reopenAt.IsZero() && !now.Before(b.reopenAt)
}

// reopen moves the flow to a new caller address.
func (b *baseFlow) reopen() {
	b.reopenAt = time.Time{}
	old := b.caller
	b.caller = b.worker.newCallerAddress(b.service().Addr())
	b.worker.changeAddress(old, b.caller)
}
