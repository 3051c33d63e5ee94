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

// firstRun is the run of the hosts that a test starts with.
var firstRun = uint64(epoch.UnixMicro())

const tickInterval = 100 * time.Millisecond

// delivery is a message in flight.
type delivery struct {
	at       time.Time
	sequence int
	from, to state.Host
	msg      message.Message
}

// deliveryHeap is a heap ordered by arrival time.
type deliveryHeap []delivery

// Len implements heap.Interface.
func (f deliveryHeap) Len() int { return len(f) }

// Less implements heap.Interface.
func (f deliveryHeap) Less(i, j int) bool {
	return cmp.Or(f[i].at.Compare(f[j].at), cmp.Compare(f[i].sequence, f[j].sequence)) < 0
}

// Swap implements heap.Interface.
func (f deliveryHeap) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *deliveryHeap) Push(x any) { *f = append(*f, x.(delivery)) }

// Pop implements heap.Interface.
func (f *deliveryHeap) Pop() any {
	last := len(*f) - 1
	x := (*f)[last]
	*f = (*f)[:last]
	return x
}

// node is one machine on the link.
type node struct {
	host         state.Host
	machine      *Machine
	paused       bool
	killed       bool
	nextTick     time.Time
	heldMessages []delivery
	sentMessages int
	lastEpoch    uint32
	wire         *wireMeter
}

// link is a simulated network that connects machines under virtual time. It can lose,
// duplicate, delay and block messages.
type link struct {
	t            testing.TB
	seed         uint64
	rng          *rand.Rand
	now          time.Time
	nodes        []*node
	byID         map[state.HostID]*node
	inFlight     deliveryHeap
	lastSequence int
	loss         float64
	duplication  float64
	delay        time.Duration
	jitter       time.Duration
	blocked      func(from, to state.Host) bool
	// falseDeaths and falseSuspicions count how often a host that was not killed was
	// marked dead or suspect since startCounting.
	falseDeaths     int
	falseSuspicions int
	counting        bool
	lastStatus      map[[2]state.HostID]state.HostStatus
}

func newLink(t testing.TB, seed uint64) *link {
	return &link{
		t:       t,
		seed:    seed,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     epoch,
		byID:    make(map[state.HostID]*node),
		delay:   time.Millisecond,
		jitter:  time.Millisecond,
		blocked: func(_, _ state.Host) bool { return false },
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

// domains starts hosts in domains of the given sizes. Each is seeded with all hosts.
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

// runInView returns the run of a host in the node's view, or 0 if it is absent.
func (n *node) runInView(id state.HostID) uint64 {
	for _, m := range n.machine.View().Members {
		if m.ID == id {
			return m.Run
		}
	}
	return 0
}

func (n *node) running() bool { return !n.killed && !n.paused }

func (l *link) send(from *node, out []message.Outgoing) {
	for _, o := range out {
		from.sentMessages++
		if from.wire != nil {
			from.wire.request(from.host, o.Message)
		}
		copies := 1
		if l.rng.Float64() < l.duplication {
			copies = 2
		}
		for range copies {
			if l.blocked(from.host, o.To) || l.rng.Float64() < l.loss {
				continue
			}
			delay := l.delay + time.Duration(l.rng.Int64N(int64(l.jitter)))
			l.lastSequence++
			heap.Push(&l.inFlight, delivery{l.now.Add(delay), l.lastSequence, from.host, o.To, o.Message})
		}
	}
}

// run advances the virtual time by d, from one event to the next.
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
	if len(l.inFlight) > 0 && l.inFlight[0].at.Before(next) {
		next = l.inFlight[0].at
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
		l.send(n, n.machine.Tick(l.now))
		l.countFalseVerdicts(n)
	}
}

func (l *link) deliver() {
	for len(l.inFlight) > 0 && !l.inFlight[0].at.After(l.now) {
		l.receive(heap.Pop(&l.inFlight).(delivery))
	}
}

func (l *link) receive(d delivery) {
	n, ok := l.byID[d.to.ID]
	if !ok || n.killed || n.host.Control != d.to.Control {
		return
	}
	if n.paused {
		n.heldMessages = append(n.heldMessages, d)
		return
	}
	if n.wire != nil {
		n.wire.response()
	}
	l.send(n, n.machine.Receive(l.now, d.from, d.msg))
}

// resume ends the pause of a host. Messages that arrived meanwhile are delivered first.
func (l *link) resume(n *node) {
	n.paused = false
	n.nextTick = l.now
	held := n.heldMessages
	n.heldMessages = nil
	for _, d := range held {
		l.receive(d)
	}
}

// startCounting starts counting false deaths and suspicions.
func (l *link) startCounting() {
	l.counting = true
	l.lastStatus = make(map[[2]state.HostID]state.HostStatus)
	for _, n := range l.nodes {
		l.countFalseVerdicts(n)
	}
	l.falseDeaths, l.falseSuspicions = 0, 0
}

func (l *link) countFalseVerdicts(n *node) {
	if !l.counting {
		return
	}
	n.machine.members.forEach(func(k *member) {
		pair := [2]state.HostID{n.host.ID, k.host.ID}
		changed := k.status != l.lastStatus[pair] && !l.node(k.host.ID).killed
		if changed && k.dead() {
			l.falseDeaths++
		}
		if changed && k.status == state.HostSuspect {
			l.falseSuspicions++
		}
		l.lastStatus[pair] = k.status
	})
}

// viewStatus returns the status of the subject in the observer's view, or HostDead if it
// is absent.
func (l *link) viewStatus(observer, subject state.HostID) state.HostStatus {
	for _, m := range l.node(observer).machine.View().Members {
		if m.ID == subject {
			return m.Status
		}
	}
	return state.HostDead
}

// allSee reports whether the subject has the status in the view of every other running
// host.
func (l *link) allSee(subject state.HostID, status state.HostStatus) bool {
	for _, n := range l.nodes {
		if n.killed || n.paused || n.host.ID == subject {
			continue
		}
		if l.viewStatus(n.host.ID, subject) != status {
			return false
		}
	}
	return true
}

// allAlive reports whether every running host sees every other running host as alive.
func (l *link) allAlive() bool {
	for _, n := range l.nodes {
		if !n.killed && !n.paused && !l.allSee(n.host.ID, state.HostAlive) {
			return false
		}
	}
	return true
}

// introduceAll makes every host know every other one at once.
func (l *link) introduceAll() {
	for _, n := range l.nodes {
		for _, other := range l.nodes {
			n.machine.Receive(l.now, other.host, Ack{Gossip: Gossip{Incarnation: other.machine.incarnation}})
		}
		n.machine.updates = updateQueue{}
		n.machine.sync.done = true
	}
}

// allJoined reports whether every host knows all hosts of its own domain and as many
// contacts of each other domain as it may know.
func (l *link) allJoined() bool {
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

// noPendingUpdates reports whether no host with a peer in its domain has an update left
// to gossip.
func (l *link) noPendingUpdates() bool {
	return !slices.ContainsFunc(l.nodes, func(n *node) bool {
		return n.machine.localDomainSize() > 1 && len(n.machine.updates.pending) > 0
	})
}

// runUntil runs until the condition holds or the limit has passed. It returns the elapsed
// virtual time and reports whether the condition holds.
func (l *link) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := l.now
	for l.now.Sub(start) < limit {
		if condition() {
			return l.now.Sub(start), true
		}
		l.run(10 * time.Millisecond)
	}
	return limit, condition()
}
