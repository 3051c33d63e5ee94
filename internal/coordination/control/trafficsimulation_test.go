package control

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Timings and budgets of the simulated clients and engines.
const (
	initialRetryDelay = 300 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	requestInterval   = 500 * time.Millisecond
	sweepBudget       = 256
)

// caller is a client with one flow, and what the targets received of the flow.
type caller struct {
	key    state.FlowKey
	target state.TargetID
	// phase is the kind of packet that the caller sends now.
	phase      traffic.PacketKind
	open       bool
	outcome    string
	resetCause string
	progress   uint64
	answeredAt time.Time
	retryDelay time.Duration
	nextSend   time.Time
	// synTargets and payloadTargets are the targets that received a SYN and payload
	// of the flow.
	synTargets     []state.TargetID
	payloadTargets []state.TargetID
}

// trafficSimulation connects the traffic engines of the simulated hosts with the
// callers.
type trafficSimulation struct {
	w        *simulation
	settings traffic.Settings
	engines  map[string]*traffic.Engine
	callers  []*caller
	// onPacket is called for each packet of the first caller before a host handles it.
	onPacket func(n *node, p *traffic.Packet)
}

func newTrafficSimulation(w *simulation, settings traffic.Settings) *trafficSimulation {
	f := &trafficSimulation{w: w, settings: settings, engines: make(map[string]*traffic.Engine)}
	f.every(TickInterval, f.sweep)
	f.every(20*time.Millisecond, f.send)
	return f
}

func (f *trafficSimulation) every(gap time.Duration, run func()) {
	run()
	f.w.after(gap, func() { f.every(gap, run) })
}

// engine returns the traffic engine of a host's current run.
func (f *trafficSimulation) engine(n *node) *traffic.Engine {
	if f.engines[n.runName] == nil {
		f.engines[n.runName] = traffic.NewEngine(f.settings, rand.New(rand.NewPCG(f.w.rng.Uint64(), 3)))
	}
	return f.engines[n.runName]
}

func (n *node) serving() bool { return n.alive && !n.paused && n.snapshot != nil }

func (f *trafficSimulation) sweep() {
	for _, n := range f.w.nodes {
		if n.serving() {
			f.sendRecordMessages(n, f.engine(n).Sweep(f.w.now, n.snapshot, sweepBudget))
		}
	}
}

// handOver sends a leaving host's flow records to the other hosts.
func (f *trafficSimulation) handOver(n *node) {
	for done := false; !done; {
		var messages []traffic.RecordMessage
		messages, done = f.engine(n).HandOverRecords(f.w.now, n.snapshot, sweepBudget)
		f.sendRecordMessages(n, messages)
	}
}

// openFlow adds a caller that opens a flow.
func (f *trafficSimulation) openFlow() *caller {
	number := len(f.callers) + 1
	address := netip.AddrFrom4([4]byte{203, 0, byte(number >> 8), byte(number)})
	c := &caller{
		key: state.FlowKey{
			Protocol: state.TCP, Caller: netip.AddrPortFrom(address, 40000),
			Service: netip.MustParseAddrPort("198.51.100.1:443"),
		},
		phase: traffic.KindSYN, retryDelay: initialRetryDelay, nextSend: f.w.now,
	}
	f.callers = append(f.callers, c)
	return c
}

// ingress returns a random running host, as the fabric would pick it; a paused host
// counts as running.
func (f *trafficSimulation) ingress() *node {
	var running []*node
	for _, n := range f.w.nodes {
		if n.alive {
			running = append(running, n)
		}
	}
	return running[f.w.rng.IntN(len(running))]
}

// send sends the packets that are due.
func (f *trafficSimulation) send() {
	for _, c := range f.callers {
		if c.outcome != "" || c.nextSend.After(f.w.now) {
			continue
		}
		c.nextSend = f.w.now.Add(c.retryDelay)
		c.retryDelay = min(2*c.retryDelay, maxRetryDelay)
		n := f.ingress()
		packet := traffic.Packet{
			Key: c.key, Fingerprint: c.key.Fingerprint(), Kind: c.phase, Size: 100, Progress: c.progress,
		}
		if c.phase != traffic.KindSYN {
			packet.PayloadSize = 60
		}
		f.w.after(time.Millisecond, func() { f.handle(n, c, packet) })
	}
}

// handle passes a packet to the engine of a host and carries out its decision.
func (f *trafficSimulation) handle(n *node, c *caller, p traffic.Packet) {
	if !n.serving() {
		return
	}
	if c == f.callers[0] && f.onPacket != nil {
		f.onPacket(n, &p)
	}
	if !n.serving() {
		return
	}
	d := f.engine(n).Handle(f.w.now, n.snapshot, &p)
	f.sendRecordMessages(n, d.Messages[:d.MessageCount])
	switch d.Action {
	case traffic.ActionForward:
		target := d.Target.ID
		f.w.after(time.Millisecond, func() { f.deliverToTarget(c, target, p) })
	case traffic.ActionRelay:
		p.Relayed, p.Relay = true, d.Header
		f.relay(n, d.To, func(to *node) { f.handle(to, c, p) })
	case traffic.ActionRefuse:
		if c.phase == traffic.KindSYN && !c.open {
			c.outcome = "refused"
		}
	case traffic.ActionReset:
		c.outcome = "reset"
		c.resetCause = fmt.Sprintf("%s by %s after %s", d.Reason, n.host.ID, f.w.now.Sub(c.answeredAt))
	}
}

func (f *trafficSimulation) sendRecordMessages(n *node, messages []traffic.RecordMessage) {
	for _, message := range messages {
		f.relay(n, message.To, func(to *node) { f.record(to, message.Header) })
	}
}

func (f *trafficSimulation) record(to *node, header relay.Header) {
	f.engine(to).HandleRecord(f.w.now, to.snapshot, header)
}

// relay sends a datagram to another host over the fake network, faults included.
func (f *trafficSimulation) relay(from *node, id state.HostID, arrive func(to *node)) {
	to := f.w.find(id)
	if to == nil {
		return
	}
	f.w.network.transmit(f.w, from.host.Domain, to.host.Domain, func() {
		if to.serving() {
			arrive(to)
		}
	})
}

// deliverToTarget records a packet at a target and schedules the answer to the caller.
func (f *trafficSimulation) deliverToTarget(c *caller, target state.TargetID, p traffic.Packet) {
	if p.Kind == traffic.KindSYN {
		if !slices.Contains(c.synTargets, target) {
			c.synTargets = append(c.synTargets, target)
		}
	} else if !slices.Contains(c.payloadTargets, target) {
		c.payloadTargets = append(c.payloadTargets, target)
	}
	f.w.after(time.Millisecond, func() { c.handleAnswer(f.w.now, target, p) })
}

// handleAnswer advances the caller if the answer belongs to its last packet.
func (c *caller) handleAnswer(now time.Time, target state.TargetID, p traffic.Packet) {
	if c.outcome != "" || p.Progress != c.progress || (c.open && c.target != target) {
		return
	}
	if p.Kind == traffic.KindFIN {
		c.outcome = "closed"
		return
	}
	c.open, c.target, c.answeredAt = true, target, now
	if c.phase == traffic.KindSYN {
		c.phase = traffic.KindData
	}
	c.progress++
	c.retryDelay = initialRetryDelay
	c.nextSend = now.Add(requestInterval)
}

// check returns a violation by the flow, or an empty string. The flow must have had
// time to recover from the faults.
func (c *caller) check(now time.Time) string {
	switch {
	case len(c.payloadTargets) > 1:
		return fmt.Sprintf("flow %s sent payload to %v", c.key.Caller, c.payloadTargets)
	case c.outcome == "refused" && len(c.synTargets)+len(c.payloadTargets) > 0:
		return fmt.Sprintf("flow %s was refused though %v received it", c.key.Caller, c.synTargets)
	case c.outcome == "reset" && c.open:
		return fmt.Sprintf("flow %s was reset: %s", c.key.Caller, c.resetCause)
	case c.outcome == "" && c.open && now.Sub(c.answeredAt) > maxCatchUpTime:
		return fmt.Sprintf("flow %s to %s has made no progress for %s", c.key.Caller, c.target, now.Sub(c.answeredAt))
	}
	return ""
}
