package callers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/packet"
	"github.com/guavawharf/guavawharf/internal/standin/wire"
	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	inboxSize = 8192
	// queueInterval is the time between checks for packets whose delay has
	// passed. It bounds how late they are delivered.
	queueInterval = time.Millisecond
	// flowInterval is the minimum time between checks of the flows' timers. It
	// bounds how late requests and retransmissions are sent.
	flowInterval = 10 * time.Millisecond
)

// flowStart is a flow that is not open yet.
type flowStart struct {
	at time.Duration
	// group is the index of the flow's group in Options.Groups.
	group int
}

// worker runs a share of the flows on one goroutine.
type worker struct {
	index   int
	options *Options
	fabric  *fabric
	random  *rand.Rand
	decoder wire.Decoder
	inbox   chan []byte
	queue   delayQueue
	// starts is sorted by time, which counts from startedAt.
	starts    []flowStart
	startedAt time.Time
	flows     map[netip.AddrPort]flow
	// pending is the number of open flows whose outcome isn't known yet.
	pending      int
	stats        []*groupStats
	addressCount int
	requestCount uint64
	lastFlowTick time.Time
	brokenFlows  []BrokenFlow
}

func newWorker(index int, o *Options, f *fabric, starts []flowStart) *worker {
	w := &worker{
		index:   index,
		options: o,
		fabric:  f,
		random:  rand.New(rand.NewPCG(o.Seed, uint64(index)+1)),
		inbox:   make(chan []byte, inboxSize),
		starts:  starts,
		flows:   make(map[netip.AddrPort]flow),
	}
	for _, g := range o.Groups {
		w.stats = append(w.stats, newGroupStats(g.Name))
	}
	return w
}

// run runs the flows until all outcomes are known and all flows have closed, or
// until the context ends.
func (w *worker) run(ctx context.Context) {
	w.startedAt = time.Now()
	ticker := time.NewTicker(queueInterval)
	defer ticker.Stop()
	for len(w.starts) > 0 || w.pending > 0 {
		select {
		case <-ctx.Done():
			w.abortAll()
			return
		case data := <-w.inbox:
			w.enqueueInbound(time.Now(), data)
		case now := <-ticker.C:
			w.tick(now)
		}
	}
	w.linger(ctx, ticker)
}

// linger runs the ended flows until they have closed or the context ends.
func (w *worker) linger(ctx context.Context, ticker *time.Ticker) {
	for len(w.flows) > 0 {
		select {
		case <-ctx.Done():
			return
		case data := <-w.inbox:
			w.enqueueInbound(time.Now(), data)
		case now := <-ticker.C:
			w.tick(now)
		}
	}
}

// abortAll counts the flows without an outcome, and those that are not open yet,
// as broken.
func (w *worker) abortAll() {
	for _, f := range w.flows {
		f.abort()
	}
	for _, s := range w.starts {
		w.stats[s.group].report.Flows++
		w.stats[s.group].broken[CauseUnfinished]++
	}
}

// enqueueInbound queues a packet from the fabric for delivery after a random
// delay, unless it is lost.
func (w *worker) enqueueInbound(now time.Time, data []byte) {
	if w.simulateLoss() {
		return
	}
	w.queue.push(delayedPacket{deliverAt: now.Add(w.randomDelay()), inbound: true, data: data})
}

// simulateLoss reports whether the next packet is lost, and counts it if so.
func (w *worker) simulateLoss() bool {
	if w.random.Float64() >= w.options.Loss {
		return false
	}
	w.fabric.lost.Add(1)
	return true
}

func (w *worker) randomDelay() time.Duration {
	return w.options.Delay + time.Duration(w.random.Int64N(int64(w.options.Jitter)+1))
}

func (w *worker) tick(now time.Time) {
	for {
		t, ok := w.queue.pop(now)
		if !ok {
			break
		}
		if t.inbound {
			w.deliver(now, t.data)
		} else {
			w.fabric.send(w.random, t.data)
		}
	}
	if now.Sub(w.lastFlowTick) < flowInterval {
		return
	}
	w.lastFlowTick = now
	w.openDueFlows(now)
	w.tickFlows(now)
}

func (w *worker) openDueFlows(now time.Time) {
	for len(w.starts) > 0 && now.Sub(w.startedAt) >= w.starts[0].at {
		w.openFlow(now, w.starts[0].group)
		w.starts = w.starts[1:]
	}
}

func (w *worker) openFlow(now time.Time, index int) {
	group := &w.options.Groups[index]
	var f flow
	if group.Protocol == state.TCP {
		f = newTCPFlow(w, group, w.stats[index], now)
	} else {
		f = newUDPFlow(w, group, w.stats[index], now)
	}
	w.flows[f.address()] = f
	w.pending++
}

func (w *worker) tickFlows(now time.Time) {
	all := make([]flow, 0, len(w.flows))
	for _, f := range w.flows {
		all = append(all, f)
	}
	for _, f := range all {
		w.updateFlow(f, func() { f.tick(now) })
		if f.removable(now) {
			delete(w.flows, f.address())
		}
	}
}

// updateFlow calls run, which may change the flow, and updates pending if the
// flow's outcome became known.
func (w *worker) updateFlow(f flow, run func()) {
	before := f.done()
	run()
	if !before && f.done() {
		w.pending--
	}
}

func (w *worker) deliver(now time.Time, data []byte) {
	a, ok := w.decode(data)
	if !ok {
		w.fabric.stray.Add(1)
		return
	}
	f := w.flows[a.packet.Dest]
	if f == nil || f.service() != a.packet.Source {
		w.fabric.stray.Add(1)
		return
	}
	w.updateFlow(f, func() { f.receive(now, a) })
}

func (w *worker) decode(data []byte) (inboundPacket, bool) {
	p, err := w.decoder.Decode(data)
	if err == nil && !p.Flags.Has(wire.RST) {
		return inboundPacket{packet: p}, true
	}
	refusal, ok := packet.ParseRefusal(data)
	if !ok {
		return inboundPacket{packet: p}, err == nil
	}
	if err != nil {
		p = wire.Packet{Protocol: refusal.Key.Protocol, Source: refusal.Key.Service, Dest: refusal.Key.Caller}
	}
	return inboundPacket{packet: p, refusal: true, retryAfter: refusal.RetryAfter}, true
}

// send queues a packet to the entry hosts for sending after a random delay,
// unless it is lost.
func (w *worker) send(now time.Time, p wire.Packet) {
	encoded, err := wire.Encode(p)
	if err != nil {
		panic(err)
	}
	if w.simulateLoss() {
		return
	}
	w.queue.push(delayedPacket{deliverAt: now.Add(w.randomDelay()), data: encoded})
}

func (w *worker) newCallerAddress(service netip.Addr) netip.AddrPort {
	w.addressCount++
	return callerAddress(w.index, w.addressCount, service)
}

// newRequestID returns a request id that is unique within the run, and among runs
// whose seeds differ in the low 24 bits.
func (w *worker) newRequestID() uint64 {
	w.requestCount++
	return w.options.Seed<<40 | uint64(w.index+1)<<32 | w.requestCount
}

// changeAddress indexes the flow under its new caller address.
func (w *worker) changeAddress(from, to netip.AddrPort) {
	w.flows[to] = w.flows[from]
	delete(w.flows, from)
}

func (w *worker) recordBroken(b BrokenFlow) {
	if len(w.brokenFlows) < maxBrokenFlows {
		w.brokenFlows = append(w.brokenFlows, b)
	}
}
