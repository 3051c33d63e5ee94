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
	// lineInterval bounds the lateness of delayed packets.
	lineInterval = time.Millisecond
	// flowInterval bounds the lateness of requests and retransmissions.
	flowInterval = 10 * time.Millisecond
)

// start is a flow that is to open.
type start struct {
	at    time.Duration
	group int
}

// worker carries a share of the flows on one goroutine.
type worker struct {
	index   int
	options *Options
	fabric  *fabric
	random  *rand.Rand
	decoder wire.Decoder
	inbox   chan []byte
	line    line
	// starts are sorted by time; began is the time they count from.
	starts    []start
	began     time.Time
	flows     map[netip.AddrPort]flow
	undecided int
	tallies   []*tally
	addresses int
	requests  uint64
	lastFlows time.Time
	broken    []BrokenFlow
}

func newWorker(index int, o *Options, f *fabric, starts []start) *worker {
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
		w.tallies = append(w.tallies, newTally(g.Name))
	}
	return w
}

// run carries the flows until all outcomes are known or the context ends.
func (w *worker) run(ctx context.Context) {
	w.began = time.Now()
	ticker := time.NewTicker(lineInterval)
	defer ticker.Stop()
	for len(w.starts) > 0 || w.undecided > 0 {
		select {
		case <-ctx.Done():
			w.breakRest()
			return
		case data := <-w.inbox:
			w.arrive(time.Now(), data)
		case now := <-ticker.C:
			w.tick(now)
		}
	}
	w.linger(ctx, ticker)
}

// linger lets finished flows close.
func (w *worker) linger(ctx context.Context, ticker *time.Ticker) {
	for len(w.flows) > 0 {
		select {
		case <-ctx.Done():
			return
		case data := <-w.inbox:
			w.arrive(time.Now(), data)
		case now := <-ticker.C:
			w.tick(now)
		}
	}
}

func (w *worker) breakRest() {
	for _, f := range w.flows {
		f.unfinished()
	}
	for _, s := range w.starts {
		w.tallies[s.group].report.Flows++
		w.tallies[s.group].broken[CauseUnfinished]++
	}
}

// arrive takes a packet from the fabric; it is lost or delayed first.
func (w *worker) arrive(now time.Time, data []byte) {
	if w.lost() {
		return
	}
	w.line.push(transit{at: now.Add(w.delay()), inbound: true, data: data})
}

func (w *worker) lost() bool {
	if w.random.Float64() >= w.options.Loss {
		return false
	}
	w.fabric.lost.Add(1)
	return true
}

func (w *worker) delay() time.Duration {
	return w.options.Delay + time.Duration(w.random.Int64N(int64(w.options.Jitter)+1))
}

func (w *worker) tick(now time.Time) {
	for {
		t, ok := w.line.pop(now)
		if !ok {
			break
		}
		if t.inbound {
			w.receive(now, t.data)
		} else {
			w.fabric.send(w.random, t.data)
		}
	}
	if now.Sub(w.lastFlows) < flowInterval {
		return
	}
	w.lastFlows = now
	w.openDue(now)
	w.tickFlows(now)
}

func (w *worker) openDue(now time.Time) {
	for len(w.starts) > 0 && now.Sub(w.began) >= w.starts[0].at {
		w.open(now, w.starts[0].group)
		w.starts = w.starts[1:]
	}
}

func (w *worker) open(now time.Time, index int) {
	group := &w.options.Groups[index]
	var f flow
	if group.Protocol == state.TCP {
		f = newTCPFlow(w, group, w.tallies[index], now)
	} else {
		f = newUDPFlow(w, group, w.tallies[index], now)
	}
	w.flows[f.address()] = f
	w.undecided++
}

func (w *worker) tickFlows(now time.Time) {
	all := make([]flow, 0, len(w.flows))
	for _, f := range w.flows {
		all = append(all, f)
	}
	for _, f := range all {
		w.step(f, func() { f.tick(now) })
		if f.gone(now) {
			delete(w.flows, f.address())
		}
	}
}

// step runs a flow and notes when its outcome becomes known.
func (w *worker) step(f flow, run func()) {
	before := f.decided()
	run()
	if !before && f.decided() {
		w.undecided--
	}
}

func (w *worker) receive(now time.Time, data []byte) {
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
	w.step(f, func() { f.receive(now, a) })
}

func (w *worker) decode(data []byte) (arrival, bool) {
	p, err := w.decoder.Decode(data)
	if err == nil && !p.Flags.Has(wire.RST) {
		return arrival{packet: p}, true
	}
	refusal, ok := packet.ParseRefusal(data)
	if !ok {
		return arrival{packet: p}, err == nil
	}
	if err != nil {
		p = wire.Packet{Protocol: refusal.Key.Protocol, Source: refusal.Key.Service, Dest: refusal.Key.Caller}
	}
	return arrival{packet: p, refusal: true, retryAfter: refusal.RetryAfter}, true
}

// send puts a packet on the line, or loses it.
func (w *worker) send(now time.Time, p wire.Packet) {
	encoded, err := wire.Encode(p)
	if err != nil {
		panic(err)
	}
	if w.lost() {
		return
	}
	w.line.push(transit{at: now.Add(w.delay()), data: encoded})
}

func (w *worker) newAddress(service netip.Addr) netip.AddrPort {
	w.addresses++
	return callerAddress(w.index, w.addresses, service)
}

// newID returns a request id that is unique among the runs of different seeds.
func (w *worker) newID() uint64 {
	w.requests++
	return w.options.Seed<<40 | uint64(w.index+1)<<32 | w.requests
}

func (w *worker) move(from, to netip.AddrPort) {
	w.flows[to] = w.flows[from]
	delete(w.flows, from)
}

func (w *worker) noteBroken(b BrokenFlow) {
	if len(w.broken) < maxBrokenFlows {
		w.broken = append(w.broken, b)
	}
}
