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

// Timings of callers.
const (
	firstRetry  = 300 * time.Millisecond
	lastRetry   = 2 * time.Second
	requestGap  = 500 * time.Millisecond
	sweepBudget = 256
)

// caller is one flow from its caller's side, and what targets saw of it.
type caller struct {
	key    state.FlowKey
	target state.TargetID
	// phase is what the caller sends now.
	phase    traffic.PacketKind
	open     bool
	ended    string
	why      string
	progress uint64
	acked    time.Time
	retry    time.Duration
	nextSend time.Time
	// opened and paid are the targets that saw its opening and its payload.
	opened []state.TargetID
	paid   []state.TargetID
}

// traffics joins the traffic engines of a world's hosts and its callers.
type traffics struct {
	w        *simulation
	settings traffic.Settings
	engines  map[string]*traffic.Engine
	callers  []*caller
	// onPacket sees each packet of the first caller that a host handles.
	onPacket func(n *node, p *traffic.Packet)
}

func newTraffics(w *simulation, settings traffic.Settings) *traffics {
	f := &traffics{w: w, settings: settings, engines: make(map[string]*traffic.Engine)}
	f.every(TickInterval, f.sweep)
	f.every(20*time.Millisecond, f.send)
	return f
}

func (f *traffics) every(gap time.Duration, run func()) {
	run()
	f.w.after(gap, func() { f.every(gap, run) })
}

// engine returns the engine of a host's present run.
func (f *traffics) engine(n *node) *traffic.Engine {
	if f.engines[n.runName] == nil {
		f.engines[n.runName] = traffic.NewEngine(f.settings, rand.New(rand.NewPCG(f.w.rng.Uint64(), 3)))
	}
	return f.engines[n.runName]
}

func (n *node) serving() bool { return n.alive && !n.paused && n.snapshot != nil }

func (f *traffics) sweep() {
	for _, n := range f.w.nodes {
		if n.serving() {
			f.notify(n, f.engine(n).Sweep(f.w.now, n.snapshot, sweepBudget))
		}
	}
}

// passOn hands a leaving host's records over.
func (f *traffics) passOn(n *node) {
	for done := false; !done; {
		var notices []traffic.Notice
		notices, done = f.engine(n).PassOn(f.w.now, n.snapshot, sweepBudget)
		f.notify(n, notices)
	}
}

// call opens a flow.
func (f *traffics) call() *caller {
	number := len(f.callers) + 1
	address := netip.AddrFrom4([4]byte{203, 0, byte(number >> 8), byte(number)})
	c := &caller{
		key: state.FlowKey{
			Protocol: state.TCP, Caller: netip.AddrPortFrom(address, 40000),
			Service: netip.MustParseAddrPort("198.51.100.1:443"),
		},
		phase: traffic.KindOpening, retry: firstRetry, nextSend: f.w.now,
	}
	f.callers = append(f.callers, c)
	return c
}

// ingress returns the host that the fabric hands a packet to: any that runs, a
// paused one included.
func (f *traffics) ingress() *node {
	var running []*node
	for _, n := range f.w.nodes {
		if n.alive {
			running = append(running, n)
		}
	}
	return running[f.w.rng.IntN(len(running))]
}

// send lets each caller send what is due.
func (f *traffics) send() {
	for _, c := range f.callers {
		if c.ended != "" || c.nextSend.After(f.w.now) {
			continue
		}
		c.nextSend = f.w.now.Add(c.retry)
		c.retry = min(2*c.retry, lastRetry)
		n := f.ingress()
		packet := traffic.Packet{
			Key: c.key, Fingerprint: c.key.Fingerprint(), Kind: c.phase, Size: 100, Progress: c.progress,
		}
		if c.phase != traffic.KindOpening {
			packet.Payload = 60
		}
		f.w.after(time.Millisecond, func() { f.handle(n, c, packet) })
	}
}

// handle lets a host decide about a packet and does what it says.
func (f *traffics) handle(n *node, c *caller, p traffic.Packet) {
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
	f.notify(n, d.Notices[:d.NoticeCount])
	switch d.Verb {
	case traffic.VerbForward:
		target := d.Target.ID
		f.w.after(time.Millisecond, func() { f.arrive(c, target, p) })
	case traffic.VerbRelay:
		p.Relayed, p.Relay = true, d.Header
		f.pass(n, d.To, func(to *node) { f.handle(to, c, p) })
	case traffic.VerbRefuse:
		if c.phase == traffic.KindOpening && !c.open {
			c.ended = "refused"
		}
	case traffic.VerbReset:
		c.ended = "reset"
		c.why = fmt.Sprintf("%s by %s after %s", d.Reason, n.host.ID, f.w.now.Sub(c.acked))
	}
}

func (f *traffics) notify(n *node, notices []traffic.Notice) {
	for _, notice := range notices {
		f.pass(n, notice.To, func(to *node) { f.record(to, notice.Header) })
	}
}

func (f *traffics) record(to *node, header relay.Header) {
	f.engine(to).HandleRecord(f.w.now, to.snapshot, header)
}

// pass carries a datagram to another host over the faulty link.
func (f *traffics) pass(from *node, id state.HostID, arrive func(to *node)) {
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

// arrive is a packet at a target, which answers the caller.
func (f *traffics) arrive(c *caller, target state.TargetID, p traffic.Packet) {
	if p.Kind == traffic.KindOpening {
		if !slices.Contains(c.opened, target) {
			c.opened = append(c.opened, target)
		}
	} else if !slices.Contains(c.paid, target) {
		c.paid = append(c.paid, target)
	}
	f.w.after(time.Millisecond, func() { c.answered(f.w.now, target, p) })
}

// answered moves the caller on when its target answers what it sent last.
func (c *caller) answered(now time.Time, target state.TargetID, p traffic.Packet) {
	if c.ended != "" || p.Progress != c.progress || (c.open && c.target != target) {
		return
	}
	if p.Kind == traffic.KindClosing {
		c.ended = "closed"
		return
	}
	c.open, c.target, c.acked = true, target, now
	if c.phase == traffic.KindOpening {
		c.phase = traffic.KindData
	}
	c.progress++
	c.retry = firstRetry
	c.nextSend = now.Add(requestGap)
}

// check returns what was broken for a flow that had time to recover.
func (c *caller) check(now time.Time) string {
	switch {
	case len(c.paid) > 1:
		return fmt.Sprintf("flow %s sent payload to %v", c.key.Caller, c.paid)
	case c.ended == "refused" && len(c.opened)+len(c.paid) > 0:
		return fmt.Sprintf("flow %s was refused and yet seen by %v", c.key.Caller, c.opened)
	case c.ended == "reset" && c.open:
		return fmt.Sprintf("flow %s was reset: %s", c.key.Caller, c.why)
	case c.ended == "" && c.open && now.Sub(c.acked) > maxCatchUpTime:
		return fmt.Sprintf("flow %s to %s stands still since %s", c.key.Caller, c.target, now.Sub(c.acked))
	}
	return ""
}
