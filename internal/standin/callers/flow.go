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
	// closeLimit is how long a whole flow waits for its close.
	closeLimit = 5 * time.Second
)

// arrival is a packet that reached its caller.
type arrival struct {
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
	receive(now time.Time, a arrival)
	tick(now time.Time)
	// unfinished breaks the flow at the end of the run.
	unfinished()
	// decided tells whether the outcome is known, gone whether the flow needs
	// no more packets.
	decided() bool
	gone(now time.Time) bool
}

// course is what TCP and UDP flows have in common.
type course struct {
	worker   *worker
	tally    *tally
	script   script
	caller   netip.AddrPort
	refusals int
	// reopenAt is when a refused flow opens again; zero while it is open.
	reopenAt time.Time
	outcome  bool
	endedAt  time.Time
}

func newCourse(w *worker, group *Group, t *tally, now time.Time) course {
	t.report.Flows++
	return course{worker: w, tally: t, script: newScript(group, now)}
}

func (c *course) address() netip.AddrPort { return c.caller }
func (c *course) service() netip.AddrPort { return c.script.group.Service }
func (c *course) decided() bool           { return c.outcome }

func (c *course) unfinished() { c.breakOff(CauseUnfinished) }

func (c *course) breakOff(cause Cause) {
	if !c.outcome {
		c.tally.broken[cause]++
		c.settle()
		c.worker.noteBroken(BrokenFlow{
			Group:     c.script.group.Name,
			Caller:    c.caller,
			Cause:     cause,
			After:     c.endedAt.Sub(c.worker.began),
			Exchanges: c.script.group.Exchanges - c.script.left,
		})
	}
}

func (c *course) answered() {
	if !c.outcome {
		c.tally.report.Answered++
		c.settle()
	}
}

func (c *course) settle() {
	c.outcome = true
	c.endedAt = time.Now()
}

// comeBack schedules the next opening, or gives up.
func (c *course) comeBack(now time.Time, retryAfter time.Duration) {
	c.refusals++
	c.tally.report.Refusals++
	if retryAfter <= 0 {
		c.tally.report.RefusalsWithout++
		retryAfter = defaultRetryAfter
	}
	if c.refusals >= maxRefusals {
		c.tally.report.Refused++
		c.settle()
		return
	}
	spread := time.Duration(c.worker.random.Int64N(int64(retryAfter)/4 + 1))
	c.reopenAt = now.Add(retryAfter + spread)
}

func (c *course) reopenDue(now time.Time) bool {
	return !c.reopenAt.IsZero() && !now.Before(c.reopenAt)
}

// reopen takes a new caller address.
func (c *course) reopen() {
	c.reopenAt = time.Time{}
	old := c.caller
	c.caller = c.worker.newAddress(c.service().Addr())
	c.worker.move(old, c.caller)
}
