package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// epoch is the virtual time at which a simulation starts.
var epoch = time.Unix(1_800_000_000, 0)

type scheduled struct {
	at  time.Time
	seq int
	run func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// node is one simulated entry host.
type node struct {
	host     state.Host
	machine  *Machine
	run      uint64
	runName  string
	alive    bool
	paused   bool
	stopped  bool
	deferred []func()
	snapshot *state.Snapshot
	bootedAt time.Time
	draining map[state.TargetID]time.Time
}

// simulation runs a few control machines in virtual time, connected by a fake network
// and a fake platform.
type simulation struct {
	now        time.Time
	rng        *rand.Rand
	schedule   schedule
	lastSeq    int
	variant    release.Variant
	nodes      []*node
	network    network
	platform   *platform
	invariants invariants
	// onCall and onAnswer are called before a platform call runs and before its outcome
	// is delivered.
	onCall func(n *node, call objects.Call)
	// traffic simulates the flows; nil for none.
	traffic *trafficSimulation
	// blockHandover keeps all hosts from handing their flow records over.
	blockHandover bool
	onStep        func(n *node)
	onHandedOver  func(n *node)
	onAction      func(n *node, action Action)
	onAnswer      func(n *node, call objects.Call, outcome objects.Outcome)
}

func newSimulation(seed uint64, variant release.Variant, sizes ...int) *simulation {
	w := &simulation{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), variant: variant}
	w.platform = newPlatform(w)
	w.invariants = newInvariants(w)
	for domain, size := range sizes {
		for index := range size {
			w.nodes = append(w.nodes, &node{host: testHost(domain, index)})
		}
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	return w
}

func testHost(domain, index int) state.Host {
	ip := netip.AddrFrom4([4]byte{127, 1, byte(domain + 1), byte(index + 1)})
	return state.Host{
		ID:      state.HostID(fmt.Sprintf("host-%c%d", 'a'+domain, index+1)),
		Domain:  state.DomainID(fmt.Sprintf("zone-%c", 'a'+domain)),
		Packets: netip.AddrPortFrom(ip, 6080), Relay: netip.AddrPortFrom(ip, 6081),
		Control: netip.AddrPortFrom(ip, 6082),
	}
}

// boot starts a host without any state.
func (w *simulation) boot(n *node) {
	var seeds []state.Host
	for _, other := range w.nodes {
		if other != n {
			seeds = append(seeds, other.host)
		}
	}
	n.run++
	n.runName = fmt.Sprintf("%s run %d", n.host.ID, n.run)
	n.bootedAt = w.now
	delete(w.invariants.reachedAt, n.host.ID)
	n.alive, n.paused, n.stopped, n.deferred, n.snapshot = true, false, false, nil, nil
	n.draining = make(map[state.TargetID]time.Time)
	settings := Settings{Self: n.host, Run: n.run, Seeds: seeds, ReleaseVariant: w.variant}
	n.machine = New(settings, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	w.scheduleTick(n, n.run, w.now.Add(time.Duration(w.rng.Int64N(int64(TickInterval)))))
}

func (w *simulation) scheduleTick(n *node, run uint64, at time.Time) {
	w.at(at, func() {
		if n.run != run || !n.alive {
			return
		}
		if !n.paused {
			w.step(n, Tick{})
		}
		w.scheduleTick(n, run, at.Add(TickInterval))
	})
}

func (w *simulation) at(at time.Time, run func()) {
	w.lastSeq++
	heap.Push(&w.schedule, scheduled{at, w.lastSeq, run})
}

func (w *simulation) after(d time.Duration, run func()) { w.at(w.now.Add(d), run) }

// runFor advances virtual time by d.
func (w *simulation) runFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.schedule) > 0 && !w.schedule[0].at.After(end) {
		next := heap.Pop(&w.schedule).(scheduled)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// runUntil advances virtual time until the condition holds, by at most limit, and
// reports whether it holds.
func (w *simulation) runUntil(limit time.Duration, holds func() bool) bool {
	for end := w.now.Add(limit); w.now.Before(end); {
		if holds() {
			return true
		}
		w.runFor(20 * time.Millisecond)
	}
	return holds()
}

// deliver passes an event to a run of a host; if the host is paused, when it resumes.
func (w *simulation) deliver(n *node, run uint64, event Event) {
	if n.run != run || !n.alive {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, func() { w.deliver(n, run, event) })
		return
	}
	w.step(n, event)
}

func (w *simulation) step(n *node, event Event) {
	for _, action := range n.machine.Step(w.now, event) {
		if w.onAction != nil {
			w.onAction(n, action)
		}
		switch act := action.(type) {
		case Send:
			w.network.send(w, n, act)
		case PlatformCall:
			w.platform.call(n, act)
		case Publish:
			n.snapshot = act.Snapshot
			w.invariants.checkSnapshot(n)
		case HandOverRecords:
			if w.blockHandover {
				continue
			}
			if w.traffic != nil {
				w.traffic.handOver(n)
			}
			run := n.run
			w.after(300*time.Millisecond, func() {
				w.deliver(n, run, RecordsHandedOver{})
				if w.onHandedOver != nil {
					w.onHandedOver(n)
				}
			})
		case Stop:
			n.alive, n.stopped = false, true
		}
	}
	w.invariants.checkRelease(n)
	if w.onStep != nil {
		w.onStep(n)
	}
}

func (w *simulation) kill(n *node) { n.alive = false }

func (w *simulation) resume(n *node) {
	n.paused = false
	queue := n.deferred
	n.deferred = nil
	for _, run := range queue {
		run()
	}
}

func (w *simulation) find(id state.HostID) *node {
	for _, n := range w.nodes {
		if n.host.ID == id {
			return n
		}
	}
	return nil
}
