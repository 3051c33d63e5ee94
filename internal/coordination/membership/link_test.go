package membership

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"net/rpc"
	"slices"
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const tickInterval = 100 * time.Millisecond

// flight is a message on its way.
type flight struct {
	at       time.Time
	order    int
	from, to state.Host
	msg      message.Message
}

// node is one machine on the link.
type node struct {
	host     state.Host
	machine  *Machine
	paused   bool
	killed   bool
	nextTick time.Time
	held     []flight
	sent     int
	wire     *wire
}

// link joins machines under virtual time.
type link struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	now     time.Time
	nodes   []*node
	flights []flight
	order   int
	loss    float64
	repeat  float64
	delay   time.Duration
	jitter  time.Duration
	cut     func(from, to state.Host) bool
	// deaths counts verdicts of death on running hosts since watchDeaths.
	deaths   int
	watching bool
	believed map[[2]state.HostID]bool
}

func newLink(t *testing.T, seed uint64) *link {
	t.Logf("seed %d", seed)
	return &link{
		t:      t,
		seed:   seed,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		now:    epoch,
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

func (l *link) add(h state.Host, incarnation uint64, seeds ...state.Host) *node {
	rng := rand.New(rand.NewPCG(l.seed, uint64(len(l.nodes)+100)))
	n := &node{host: h, machine: New(h, incarnation, rng)}
	n.machine.Seed(l.now, seeds)
	n.nextTick = l.now.Add(time.Duration(rng.Int64N(int64(tickInterval))))
	l.nodes = slices.DeleteFunc(l.nodes, func(o *node) bool { return o.host.ID == h.ID })
	l.nodes = append(l.nodes, n)
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
		l.add(h, 1, hosts...)
	}
}

func (l *link) node(id state.HostID) *node {
	for _, n := range l.nodes {
		if n.host.ID == id {
			return n
		}
	}
	l.t.Fatalf("no host %s", id)
	return nil
}

// envelope and ack stand for what the rpc edge sends with a message.
type envelope struct {
	Version int
	From    state.Host
	Message any
}

type ack struct {
	Accepted bool
	Reason   string
}

// wire measures what a host writes to its connections: net/rpc requests with
// their envelopes, and the responses to the requests it receives.
type wire struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	seq     uint64
}

func newWire() *wire {
	w := &wire{}
	w.encoder = gob.NewEncoder(&w.buffer)
	return w
}

func (w *wire) request(from state.Host, m message.Message) {
	w.seq++
	w.encode(rpc.Request{ServiceMethod: "Peer.Deliver", Seq: w.seq}, envelope{1, from, m})
}

func (w *wire) response() {
	w.encode(rpc.Response{ServiceMethod: "Peer.Deliver", Seq: w.seq}, ack{Accepted: true})
}

func (w *wire) encode(parts ...any) {
	for _, p := range parts {
		if err := w.encoder.Encode(p); err != nil {
			panic(err)
		}
	}
}

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
			l.flights = append(l.flights, flight{l.now.Add(delay), l.order, from.host, o.To, o.Message})
		}
	}
}

// run lets time pass in steps of a millisecond.
func (l *link) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(time.Millisecond) {
		l.deliver()
		for _, n := range l.nodes {
			if n.killed || n.paused || l.now.Before(n.nextTick) {
				continue
			}
			n.nextTick = l.now.Add(tickInterval)
			l.post(n, n.machine.Tick(l.now))
			l.countDeaths(n)
		}
	}
}

func (l *link) deliver() {
	var due []flight
	l.flights = slices.DeleteFunc(l.flights, func(f flight) bool {
		if f.at.After(l.now) {
			return false
		}
		due = append(due, f)
		return true
	})
	slices.SortFunc(due, func(a, b flight) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
	})
	for _, f := range due {
		l.hand(f)
	}
}

func (l *link) hand(f flight) {
	i := slices.IndexFunc(l.nodes, func(n *node) bool { return n.host.Control == f.to.Control })
	if i < 0 || l.nodes[i].killed {
		return
	}
	n := l.nodes[i]
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
	held := n.held
	n.held = nil
	for _, f := range held {
		l.hand(f)
	}
}

// watchDeaths starts counting wrong verdicts of death.
func (l *link) watchDeaths() {
	l.watching = true
	l.deaths = 0
	l.believed = make(map[[2]state.HostID]bool)
}

func (l *link) countDeaths(n *node) {
	if !l.watching {
		return
	}
	n.machine.table.each(func(k *member) {
		pair := [2]state.HostID{n.host.ID, k.host.ID}
		if k.dead() && !l.believed[pair] && !l.node(k.host.ID).killed {
			l.deaths++
		}
		l.believed[pair] = k.dead()
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
			if len(n.machine.contacts(d)) != want {
				return false
			}
		}
	}
	return true
}

// quiet tells whether no host has a recent change left to pass on to a peer.
func (l *link) quiet() bool {
	return !slices.ContainsFunc(l.nodes, func(n *node) bool {
		return n.machine.domainSize() > 1 && len(n.machine.updates.queue) > 0
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

func init() {
	for _, m := range Messages() {
		gob.RegisterName(fmt.Sprintf("%T", m), m)
	}
}
