package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Random returns a number from 0 to 1, 1 excluded.
type Random func() float64

// Engine decides about packets. It is not safe for concurrent use. Times are
// counted from the start of the process and never decrease.
type Engine struct {
	view    *catalog.View
	random  Random
	targets *targetTable
	flows   map[state.FlowKey]*flow
	// pending wait for an answer.
	pending   map[state.FlowKey]*flow
	nextSweep time.Duration
	// resets are flows to reset at the next Due.
	resets         []Verdict
	unknownCookies unknownCookies
	// handshakeTime is Verdict.OpenedAfter of the packet at hand.
	handshakeTime time.Duration
}

// NewEngine returns an engine of a host in a failure domain.
func NewEngine(domain state.DomainID, random Random) *Engine {
	return &Engine{
		random:         random,
		targets:        newTargetTable(domain),
		flows:          make(map[state.FlowKey]*flow),
		pending:        make(map[state.FlowKey]*flow),
		unknownCookies: unknownCookies{seen: make(map[catalog.Cookie]time.Duration)},
	}
}

// SetView puts a new view in force.
func (e *Engine) SetView(now time.Duration, view *catalog.View) {
	e.view = view
	for _, pool := range view.Pools {
		for _, target := range pool.Offered {
			r := e.targets.getOrCreate(target, now)
			if r.startedAt != target.Born {
				e.handleRestart(now, r, target)
			}
		}
	}
}

// handleRestart forgets what was seen of a target's earlier life. Its flows ended
// with it; those that wait for an answer are better tried again at once.
func (e *Engine) handleRestart(now time.Duration, r *targetRecord, target *catalog.Target) {
	r.startedAt = target.Born
	r.address = target.Address
	e.targets.markUp(r)
	r.missed = 0
	r.lastAnswer = now
	r.warmUpUntil = now + target.WarmUp
	for _, f := range e.flows {
		if f.target == r && f.waiting && f.idempotent {
			e.queueReset(now, f, ReasonTargetRestarted)
		}
	}
}

// RecordCheck takes the result of a check.
func (e *Engine) RecordCheck(now time.Duration, target catalog.TargetID, proof CheckOutcome) {
	r := e.targets.byID[target]
	if r != nil && e.targets.recordCheck(now, r, proof) {
		e.resetStuckFlows(now, r)
	}
}

// resetStuckFlows ends the flows that wait for a target that is gone.
func (e *Engine) resetStuckFlows(now time.Duration, r *targetRecord) {
	if !r.likelyDown(now) {
		return
	}
	for _, f := range e.flows {
		if f.target == r && f.shouldReset(now) {
			e.queueReset(now, f, ReasonTargetSilent)
		}
	}
}

// queueReset ends a flow at the next Due.
func (e *Engine) queueReset(now time.Duration, f *flow, reason Reason) {
	e.resets = append(e.resets, Verdict{
		Action:   ActionReset,
		Reason:   reason,
		Client:   f.key.Caller,
		Service:  f.key.Service,
		Seq:      f.ack,
		Evidence: f.target.resetEvidence(now),
	})
	e.removeFlow(f.key)
}

// FlowCount returns the number of flows remembered.
func (e *Engine) FlowCount() int { return len(e.flows) }

// DrainHealthChanges returns the changes of belief since the last call.
func (e *Engine) DrainHealthChanges() []HealthChange {
	beliefs := e.targets.healthChanges
	e.targets.healthChanges = nil
	return beliefs
}

// DrainChecks returns the checks to start since the last call.
func (e *Engine) DrainChecks() []Check {
	checks := e.targets.checks
	e.targets.checks = nil
	return checks
}

// HandlePacket decides about a client's packet.
func (e *Engine) HandlePacket(now time.Duration, p *Packet) Verdict {
	if !e.view.Decides() {
		return Verdict{Reason: ReasonNotReady}
	}
	route := e.view.Routes[p.Service]
	if route == nil {
		return e.handleNoRoute(p)
	}
	if p.SYN {
		return e.handleSYN(now, route, p)
	}
	target := route.Target(p.Cookie)
	if target == nil {
		return e.handleUnknownCookie(now, p)
	}
	e.handshakeTime = 0
	if goesOn := e.observeEstablished(now, route, target, p); !goesOn {
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

// handleUnknownCookie decides about a packet whose target is not known. Where every
// living target is known it is gone, and a new try serves the client better. A
// cookie of another pool proves nothing about the flow, nor does one of a target
// that started after the targets were read last: another host may know it.
func (e *Engine) handleUnknownCookie(now time.Duration, p *Packet) Verdict {
	if !e.view.Complete || p.RST || e.view.Knows(p.Cookie) {
		return Verdict{Reason: ReasonUnknownCookie}
	}
	if !e.unknownCookies.readSinceFirstSeen(now, p.Cookie) {
		return Verdict{Reason: ReasonUnknownCookie}
	}
	return replyReset(p, ReasonTargetUnknown)
}

// handleNoRoute refuses at once what the configuration has no route for, so that the
// client need not wait. An open flow at an address that never had a route here may
// belong to a newer configuration, which another host has already: it is left
// alone. A reset is never answered.
func (e *Engine) handleNoRoute(p *Packet) Verdict {
	e.removeFlow(p.key())
	if p.RST || !p.SYN && !e.view.Removed[p.Service] {
		return Verdict{Reason: ReasonNoRoute}
	}
	return replyReset(p, ReasonNoRoute)
}

// replyReset answers a packet with a reset.
func replyReset(p *Packet, reason Reason) Verdict {
	return Verdict{Action: ActionReset, Reason: reason, Client: p.Client, Service: p.Service, Seq: p.Ack}
}

// observeEstablished learns from a packet of an established flow. It returns false if the
// flow is better reset: its target is gone and the packet is a new request, which
// then has not run, or one that may be tried again.
func (e *Engine) observeEstablished(now time.Duration, route *catalog.RouteEntry, target *catalog.Target, p *Packet) (goesOn bool) {
	key := p.key()
	f := e.flows[key]
	if f == nil || f.pending != nil || f.target != e.targets.getOrCreate(target, now) {
		f = e.trackOpenFlow(now, key, route, target, p, f)
	}
	if p.RST || p.FIN && p.Length == 0 {
		e.removeFlow(key)
		return true
	}
	wasWaiting := f.waiting
	switch f.observe(now, p) {
	case signalAnswered:
		e.targets.recordAnswer(now, f.target)
	case signalRetransmitted:
		e.targets.recordMiss(now, f.target, true)
	case signalTargetRetransmitted:
		e.targets.recordMiss(now, f.target, false)
	}
	newRequest := f.waiting && !wasWaiting
	if !f.shouldReset(now) && !(newRequest && f.targetDown(now)) {
		return true
	}
	e.removeFlow(key)
	// What this flow has shown holds for the others there.
	e.resetStuckFlows(now, f.target)
	return false
}

// trackOpenFlow notes that a flow is open at a target: its opening was answered there,
// or this host sees the flow for the first time.
func (e *Engine) trackOpenFlow(now time.Duration, key state.FlowKey, route *catalog.RouteEntry, target *catalog.Target, p *Packet, before *flow) *flow {
	r := e.targets.getOrCreate(target, now)
	f := newFlow(now, key, route)
	f.target, f.nextSeq, f.ack = r, p.Seq, p.Ack
	if before != nil {
		if o := before.pending; o != nil && contains(o.tried, r) {
			f.synSeq = o.seq
			e.recordSYNAnswer(now, o, r)
		}
		e.removeFlow(key)
	}
	r.openFlows++
	e.flows[key] = f
	return f
}

// recordSYNAnswer notes that a target answered an opening. Only of the newest offer it is
// known how long that took.
func (e *Engine) recordSYNAnswer(now time.Duration, o *pendingSYN, r *targetRecord) {
	e.targets.recordAnswer(now, r)
	e.handshakeTime = now - o.startedAt
	if o.tried[len(o.tried)-1] == r {
		r.handshakeRTT.add(now - o.lastAttemptAt)
	}
}

// removeFlow drops what is known of a flow.
func (e *Engine) removeFlow(key state.FlowKey) {
	f := e.flows[key]
	if f == nil {
		return
	}
	delete(e.flows, key)
	delete(e.pending, key)
	if f.pending != nil {
		f.pending.releaseAttempts()
		return
	}
	f.clearWaiting()
	f.target.openFlows--
}

// sweep forgets flows that were idle for too long.
func (e *Engine) sweep(now time.Duration) {
	if now < e.nextSweep {
		return
	}
	e.nextSweep = now + sweepInterval
	e.targets.totalLoad.sample()
	idle := defaultIdleTimeout
	if e.view != nil && e.view.IdleTimeout > 0 {
		idle = e.view.IdleTimeout
	}
	for key, f := range e.flows {
		if now-f.lastSeen > idle {
			e.removeFlow(key)
		}
	}
	e.targets.evictUnused(e.knows)
	e.unknownCookies.sweep(now)
}

// knows tells whether a target takes new flows.
func (e *Engine) knows(id catalog.TargetID) bool {
	for _, pool := range e.view.Pools {
		if target := pool.Target(id.Cookie()); target != nil && target.ID == id {
			return true
		}
	}
	return false
}
