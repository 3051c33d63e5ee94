package steer

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/outcomes"
	"github.com/guavawharf/guavawharf/internal/coordination/slowstart"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Random returns a number in [0, 1).
type Random func() float64

// Engine decides how to handle packets. It is not safe for concurrent use. Times are
// durations since the start of the process and never decrease.
type Engine struct {
	view    *catalog.View
	random  Random
	targets *targetTable
	flows   map[state.FlowKey]*flow
	// pending holds the flows whose SYN is unanswered; they are in flows, too.
	pending   map[state.FlowKey]*flow
	nextSweep time.Duration
	// overloadChanges collects entries until the next DrainOverloadChanges.
	overloadChanges []OverloadChange
	// queued are the verdicts to return from the next HandleDeadlines.
	queued []Verdict
	// unresolved are the flows whose route or target is not known.
	unresolved unresolvedFlows
	// resets holds since when flows were open that were reset because of their target, for
	// clients that the reset did not reach.
	resets sightings
	// handshakeTime is the HandshakeTime of the verdict on the current packet.
	handshakeTime time.Duration
	// shares are those of targets in their slow start, nil if they are not shared out.
	shares *slowstart.Shares
	// account counts the decisions and which of them were wrong.
	account outcomes.Account
	// estimateFrom is the number of targets of a pool from which its new flows are placed by
	// estimates, 0 for never.
	estimateFrom int
}

// NewEngine returns an engine for a host in the given failure domain.
func NewEngine(domain state.DomainID, random Random) *Engine {
	return &Engine{
		random:     random,
		targets:    newTargetTable(domain),
		flows:      make(map[state.FlowKey]*flow),
		pending:    make(map[state.FlowKey]*flow),
		unresolved: unresolvedFlows{flows: make(sightings), syns: make(sightings)},
		resets:     make(sightings),
	}
}

// ShareSlowStarts has targets in their slow start get new flows by shares.
func (e *Engine) ShareSlowStarts(shares *slowstart.Shares) { e.shares = shares }

// SetDomainHosts sets the hosts that share out the slow starts of targets in this failure
// domain; nil if they are not known.
func (e *Engine) SetDomainHosts(hosts []netip.AddrPort) {
	if e.shares != nil {
		e.shares.SetHosts(hosts)
	}
}

// SetView replaces the view of routes and targets.
func (e *Engine) SetView(now time.Duration, view *catalog.View) {
	e.view = view
	e.targets.drained = view.DrainedDomains
	e.targets.views++
	for _, pool := range view.Pools {
		e.configureLimiter(pool)
		for _, target := range pool.Offered {
			r := e.targets.getOrCreate(target, now)
			r.offeredIn = e.targets.views
		}
		for target := range pool.Targets() {
			if r := e.targets.byID[target.ID]; r != nil && r.restarted(target) {
				e.handleRestart(now, r, target)
			}
		}
	}
}

// handleRestart discards what was observed of a target before its restart. Of the flows that
// await an answer from it some ended with the restart, and others were opened since, which
// this host can't tell apart: it may learn of the restart seconds later.
func (e *Engine) handleRestart(now time.Duration, r *targetRecord, target *catalog.Target) {
	r.startedAt = target.StartMillis
	r.address = target.Address
	r.checkOutdated = r.checking
	e.targets.markUp(r)
	r.missed = 0
	r.lastAnswer = now
	r.warmUpUntil = now + target.WarmUp
	for _, f := range e.flows {
		if f.target == r && f.waiting {
			e.queueProbe(f, target)
		}
	}
}

// queueProbe has the next HandleDeadlines forward the client's latest packet without data
// again. A target that does not hold the flow answers the client with a RST, so that the
// client need not wait for a timeout; one that holds it takes the packet for a duplicate.
func (e *Engine) queueProbe(f *flow, target *catalog.Target) {
	if f.bareSize == 0 {
		return
	}
	e.queued = append(e.queued, Verdict{
		Action:  ActionForward,
		Reason:  ReasonTargetRestarted,
		Target:  target,
		Client:  f.key.Caller,
		Service: f.key.Service,
		Raw:     f.barePacket[:f.bareSize],
	})
}

// RecordCheck records the result of a check.
func (e *Engine) RecordCheck(now time.Duration, target catalog.TargetID, outcome CheckOutcome) {
	r := e.targets.byID[target]
	if r == nil {
		return
	}
	if r.checkOutdated {
		// The check was of the start before.
		r.checkOutdated = false
		outcome = CheckInconclusive
	}
	e.recordSuspicion(r, outcome)
	if e.targets.recordCheck(now, r, outcome) {
		e.resetStuckFlows(now, r)
	}
}

// resetStuckFlows resets the flows that await an answer from a target that is down.
func (e *Engine) resetStuckFlows(now time.Duration, r *targetRecord) {
	if !r.likelyDown(now) {
		return
	}
	for _, f := range e.flows {
		if f.target == r && f.shouldReset(now, e.certainReadAt()) {
			e.queueReset(now, f, ReasonTargetSilent)
		}
	}
}

// queueReset removes a flow and has the next HandleDeadlines return its reset.
func (e *Engine) queueReset(now time.Duration, f *flow, reason Reason) {
	e.resets.record(f.key, f.nextSeq, f.openSince)
	e.queued = append(e.queued, Verdict{
		Action:   ActionReset,
		Reason:   reason,
		Client:   f.key.Caller,
		Service:  f.key.Service,
		Seq:      f.ack,
		Evidence: f.target.resetEvidence(now),
	})
	e.removeFlow(f.key)
}

// FlowCount returns the number of tracked flows.
func (e *Engine) FlowCount() int { return len(e.flows) }

// DrainHealthChanges returns the health changes since the last call.
func (e *Engine) DrainHealthChanges() []HealthChange {
	changes := e.targets.healthChanges
	e.targets.healthChanges = nil
	return changes
}

// DrainChecks returns the checks requested since the last call. The caller must run
// them and pass each outcome to RecordCheck.
func (e *Engine) DrainChecks() []Check {
	checks := e.targets.checks
	e.targets.checks = nil
	return checks
}

// HandlePacket decides how to handle a packet from a client.
func (e *Engine) HandlePacket(now time.Duration, p *Packet) Verdict {
	if !e.view.CanDecide() {
		return Verdict{Reason: ReasonNotReady}
	}
	route := e.view.Routes[p.Service]
	if route == nil {
		return e.handleNoRoute(now, p)
	}
	if p.SYN {
		e.unresolved.resolve(p)
		return e.handleSYN(now, route, p)
	}
	target := route.Target(p.Cookie)
	if target == nil {
		return e.handleUnknownCookie(now, p)
	}
	e.unresolved.resolve(p)
	e.handshakeTime = 0
	if forward := e.observeEstablished(now, route, target, p); !forward {
		verdict := replyReset(p, ReasonTargetSilent)
		verdict.Evidence = e.targets.getOrCreate(target, now).resetEvidence(now)
		return verdict
	}
	return Verdict{
		Action:        ActionForward,
		Reason:        ReasonEstablished,
		Target:        target,
		Raw:           p.Raw,
		HandshakeTime: e.handshakeTime,
	}
}

// handleUnknownCookie decides about a packet whose target is not known. If every running
// target is known as of a time after the packet arrived, this one has ended and a new
// connection serves the client better. Two kinds of cookie prove nothing and are dropped:
// one that names a target of another pool, and one of a target that may have started after
// the targets were last read, which another host may know.
func (e *Engine) handleUnknownCookie(now time.Duration, p *Packet) Verdict {
	if p.RST || e.view.MayRun(p.Cookie) {
		return Verdict{Reason: ReasonUnknownCookie}
	}
	if !e.unresolved.targetsReadSinceSeen(now, p) {
		return Verdict{Reason: ReasonUnknownCookie}
	}
	return replyReset(p, ReasonTargetUnknown)
}

// handleNoRoute resets flows to an address without a route, so that the client need not
// wait for a timeout: a new flow at once, one that another host may have opened only if the
// configuration lacks its route as of a time after its packet arrived. Until then the packet
// is dropped, since a newer configuration may have the route. So is a packet of an open flow
// to an address that never had a route here. A RST is never answered.
func (e *Engine) handleNoRoute(now time.Duration, p *Packet) Verdict {
	e.removeFlow(p.key())
	switch {
	case p.SYN && !p.Retransmitted():
		return replyReset(p, ReasonNoRoute)
	case p.RST || !p.SYN && !e.view.RemovedAddresses[p.Service]:
		return Verdict{Reason: ReasonRouteUnknown}
	case !e.unresolved.configReadSinceSeen(now, p) || !e.view.StoreCertain:
		return Verdict{Reason: ReasonRouteUnknown}
	case p.SYN:
		return replyReset(p, ReasonNoRoute)
	}
	return replyReset(p, ReasonRouteRemoved)
}

// replyReset returns the verdict that answers a packet with a RST.
func replyReset(p *Packet, reason Reason) Verdict {
	return Verdict{Action: ActionReset, Reason: reason, Client: p.Client, Service: p.Service, Seq: p.Ack}
}

// removeFlow stops tracking a flow and releases its share of the load counts.
func (e *Engine) removeFlow(key state.FlowKey) {
	f := e.flows[key]
	if f == nil {
		return
	}
	delete(e.flows, key)
	delete(e.pending, key)
	f.leaveLimiter()
	if f.pending != nil {
		f.pending.releaseAttempts()
		return
	}
	f.clearWaiting()
	f.target.openFlows--
}
