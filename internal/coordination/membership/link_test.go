package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// firstRun is the run of every host that a test starts first.
var firstRun = uint64(epoch.UnixMicro())

const tickInterval = 100 * time.Millisecond

// flight is a message on its way.
type flight struct {
	at       time.Time
	order    int
	from, to state.Host
	msg      message.Message
}

// flights is a heap by time of arrival.
type flights []flight

// Len implements heap.Interface.
func (f flights) Len() int { return len(f) }

// Less implements heap.Interface.
func (f flights) Less(i, j int) bool {
	return cmp.Or(f[i].at.Compare(f[j].at), cmp.Compare(f[i].order, f[j].order)) < 0
}

// Swap implements heap.Interface.
func (f flights) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *flights) Push(x any) { *f = append(*f, x.(flight)) }

// Pop implements heap.Interface.
func (f *flights) Pop() any {
	last := len(*f) - 1
	x := (*f)[last]
	*f = (*f)[:last]
	return x
}

// node is one machine on the link.
type node struct {
	host      state.Host
	machine   *Machine
	paused    bool
	killed    bool
	nextTick  time.Time
	held      []flight
	sent      int
	lastEpoch uint32
	wire      *wire
}

// link joins machines under virtual time.
type link struct {
	t       testing.TB
	seed    uint64
	rng     *rand.Rand
	now     time.Time
	nodes   []*node
	byID    map[state.HostID]*node
	flights flights
	order   int
	loss    float64
	repeat  float64
	delay   time.Duration
	jitter  time.Duration
	cut     func(from, to state.Host) bool
	// deaths counts verdicts of death on running hosts since watchDeaths.
	// and suspicions those of suspicion.
	deaths     int
	suspicions int
	watching   bool
	believed   map[[2]state.HostID]state.HostStatus
}

func newLink(t testing.TB, seed uint64) *link {
	return &link{
		t:      t,
		seed:   seed,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		now:    epoch,
		byID:   make(map[state.HostID]*node),
		delay:  time.Millisecond,
		jitter: time.Millisecond,
		cut:    func(_, _ state.Host) bool { return false },
	}
}

func testHost(domain, number int) state.Host {
	base := uint16(10000 + 100*domain)
	addr := netip.AddrFrom4([4]byte{127, byte(domain), byte(number / 250), byte(1 + number%250)})
	return state.Host{
		ID:      state.HostID(fmt.Sprintf("host-%d-%03d", domain, number)),
		Domain:  state.DomainID(fmt.Sprintf("domain-%d", domain)),
		Packets: netip.AddrPortFrom(addr, base),
		Relay:   netip.AddrPortFrom(addr, base+1),
		Control: netip.AddrPortFrom(addr, base+2),
	}
}

func (l *link) add(h state.Host, run uint64, seeds ...state.Host) *node {
	rng := rand.New(rand.NewPCG(l.seed, uint64(len(l.nodes)+100)))
	n := &node{host: h, machine: New(h, run, rng)}
	n.machine.AddSeeds(l.now, seeds)
	n.nextTick = l.now.Add(time.Duration(rng.Int64N(int64(tickInterval))))
	l.nodes = slices.DeleteFunc(l.nodes, func(o *node) bool { return o.host.ID == h.ID })
	l.nodes = append(l.nodes, n)
	l.byID[h.ID] = n
	return n
}

// domains starts hosts in domains of the given sizes, all seeded with all.
func (l *link) domains(sizes ...int) {
	var hosts []state.Host
	for d, size := range sizes {
		for i := range size {
			hosts = append(hosts, testHost(d+1, i))
		}
	}
	for _, h := range hosts {
		l.add(h, firstRun, hosts...)
	}
}

func (l *link) node(id state.HostID) *node {
	n, ok := l.byID[id]
	if !ok {
		l.t.Fatalf("no host %s", id)
	}
	return n
}

// run returns the run of a host as the node's view has it.
func (n *node) run(id state.HostID) uint64 {
	for _, m := range n.machine.View().Members {
		if m.ID == id {
			return m.Incarnation
		}
	}
	return 0
}

func (n *node) running() bool { return !n.killed && !n.paused }

func (l *link) post(from *node, out []message.Outgoing) {
	for _, o := range out {
		from.sent++
		if from.wire != nil {
			from.wire.request(from.host, o.Message)
		}
		copies := 1
		if l.rng.Float64() < l.repeat {
			copies = 2
		}
		for range copies {
			if l.cut(from.host, o.To) || l.rng.Float64() < l.loss {
				continue
			}
			delay := l.delay + time.Duration(l.rng.Int64N(int64(l.jitter)))
			l.order++
			heap.Push(&l.flights, flight{l.now.Add(delay), l.order, from.host, o.To, o.Message})
		}
	}
}

// run lets time pass from one event to the next.
func (l *link) run(d time.Duration) {
	end := l.now.Add(d)
	for {
		next := l.nextEvent()
		if !next.Before(end) {
			break
		}
		if next.Before(l.now) {
			l.t.Fatalf("event at %v before now %v", next, l.now)
		}
		l.now = next
		l.deliver()
		l.tick()
	}
	l.now = end
}

func (l *link) nextEvent() time.Time {
	next := l.now.Add(tickInterval)
	if len(l.flights) > 0 && l.flights[0].at.Before(next) {
		next = l.flights[0].at
	}
	for _, n := range l.nodes {
		if n.running() && n.nextTick.Before(next) {
			next = n.nextTick
		}
	}
	return next
}

func (l *link) tick() {
	for _, n := range l.nodes {
		if !n.running() || l.now.Before(n.nextTick) {
			continue
		}
		n.nextTick = l.now.Add(tickInterval)
		l.post(n, n.machine.Tick(l.now))
		l.countDeaths(n)
	}
}

func (l *link) deliver() {
	for len(l.flights) > 0 && !l.flights[0].at.After(l.now) {
		l.hand(heap.Pop(&l.flights).(flight))
	}
}

func (l *link) hand(f flight) {
	n, ok := l.byID[f.to.ID]
	if !ok || n.killed || n.host.Control != f.to.Control {
		return
	}
	if n.paused {
		n.held = append(n.held, f)
		return
	}
	if n.wire != nil {
		n.wire.response()
	}
	l.post(n, n.machine.Receive(l.now, f.from, f.msg))
}

// resume wakes a paused host; what arrived meanwhile is delivered first.
func (l *link) resume(n *node) {
	n.paused = false
	n.nextTick = l.now
	held := n.held
	n.held = nil
	for _, f := range held {
		l.hand(f)
	}
}

// watchDeaths starts counting wrong verdicts of death.
func (l *link) watchDeaths() {
	l.watching = true
	l.believed = make(map[[2]state.HostID]state.HostStatus)
	for _, n := range l.nodes {
		l.countDeaths(n)
	}
	l.deaths, l.suspicions = 0, 0
}

func (l *link) countDeaths(n *node) {
	if !l.watching {
		return
	}
	n.machine.members.forEach(func(k *member) {
		pair := [2]state.HostID{n.host.ID, k.host.ID}
		changed := k.status != l.believed[pair] && !l.node(k.host.ID).killed
		if changed && k.dead() {
			l.deaths++
		}
		if changed && k.status == state.HostSuspect {
			l.suspicions++
		}
		l.believed[pair] = k.status
	})
}

// sees returns the status of a host in another's view, HostDead if absent.
func (l *link) sees(observer, subject state.HostID) state.HostStatus {
	for _, m := range l.node(observer).machine.View().Members {
		if m.ID == subject {
			return m.Status
		}
	}
	return state.HostDead
}

// agree tells whether every running host sees the subject with the status.
func (l *link) agree(subject state.HostID, status state.HostStatus) bool {
	for _, n := range l.nodes {
		if n.killed || n.paused || n.host.ID == subject {
			continue
		}
		if l.sees(n.host.ID, subject) != status {
			return false
		}
	}
	return true
}

// allAlive tells whether every running host sees every running host alive.
func (l *link) allAlive() bool {
	for _, n := range l.nodes {
		if !n.killed && !n.paused && !l.agree(n.host.ID, state.HostAlive) {
			return false
		}
	}
	return true
}

// acquaint makes every host know every other at once.
func (l *link) acquaint() {
	for _, n := range l.nodes {
		for _, other := range l.nodes {
			n.machine.Receive(l.now, other.host, Ack{Gossip: Gossip{Incarnation: other.machine.incarnation}})
		}
		n.machine.updates = updateQueue{}
		n.machine.sync.done = true
	}
}

// complete tells whether every running host sees all hosts of its own domain
// and all contacts of the others.
func (l *link) complete() bool {
	sizes := make(map[state.DomainID]int)
	for _, n := range l.nodes {
		sizes[n.host.Domain]++
	}
	for _, n := range l.nodes {
		for d, size := range sizes {
			want := min(size, MaxContacts)
			if d == n.host.Domain {
				want = size - 1
			}
			if len(n.machine.liveMembers(d)) != want {
				return false
			}
		}
	}
	return true
}

// quiet tells whether no host has a recent change left to pass on to a peer.
func (l *link) quiet() bool {
	return !slices.ContainsFunc(l.nodes, func(n *node) bool {
		return n.machine.localDomainSize() > 1 && len(n.machine.updates.pending) > 0
	})
}

// until runs until the condition holds and returns how long that took.
func (l *link) until(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := l.now
	for l.now.Sub(start) < limit {
		if condition() {
			return l.now.Sub(start), true
		}
		l.run(10 * time.Millisecond)
	}
	return limit, condition()
}
