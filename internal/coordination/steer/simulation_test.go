package steer

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Times and sizes of the simulated service, whose requests take 15 ms.
const (
	simSlots       = 2
	simWork        = 15 * time.Millisecond
	simObjective   = 120 * time.Millisecond
	simDeadline    = 500 * time.Millisecond
	simOneWay      = time.Millisecond
	simAttempts    = 3
	simRetryDelay  = 10 * time.Millisecond
	simDelayedACK  = 40 * time.Millisecond
	simTick        = 5 * time.Millisecond
	simOpenFlows   = 100
	simBurstStart  = 3 * time.Second
	simCountedFrom = simBurstStart + time.Second
	simBurstEnd    = simBurstStart + 4*time.Second
)

// simSize is the size of a simulated deployment.
type simSize struct {
	// domains is the number of failure domains, hosts and targets are for each of them.
	domains int
	hosts   int
	targets int
	// objective is the latency objective of all routes.
	objective time.Duration
}

// smallSize has so few targets that each host knows them by its own requests.
var smallSize = simSize{domains: 1, hosts: 8, targets: 14, objective: simObjective}

// capacity is the number of requests a second that the targets can answer.
func (s simSize) capacity() float64 {
	return float64(s.domains*s.targets*simSlots) * float64(time.Second) / float64(simWork)
}

// simDomain returns the name of a failure domain.
func simDomain(number int) state.DomainID { return state.DomainID(rune('a' + number)) }

// event is something that happens at a time of the simulation.
type event struct {
	at     time.Duration
	number int
	run    func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simulation plays callers, hosts with the real engine, and targets in virtual time. The
// callers repeat a request up to twice, at once, on a new flow.
type simulation struct {
	t         *testing.T
	size      simSize
	now       time.Duration
	scheduled int
	events    eventQueue
	random    *rand.Rand
	directory *catalog.Directory
	// hosts are those of each failure domain.
	hosts [][]*Engine
	// callerDomain returns the failure domain of the next caller.
	callerDomain func() int
	targets      map[catalog.TargetID]*simTarget
	kind         targetKind
	nextPort     int
	// outcomes are those of the requests first sent in the counted part of the burst, by
	// caller in byCaller.
	outcomes simOutcomes
	byCaller map[netip.Addr]*simOutcomes
	// important are those of the requests to depositAddress, the more important route.
	important simOutcomes
	// refusals counts the refused SYNs of the whole run.
	refusals int
}

// simOutcomes counts requests by what their callers got.
type simOutcomes struct {
	asked, inAim, late, unserved int
}

// simTarget answers requests in its slots, queues some and rejects the others.
type simTarget struct {
	sim     *simulation
	running int
	queue   []func(executed bool)
	// slow multiplies the work.
	slow float64
	// arrived counts the requests that arrived.
	arrived int
}

// targetKind is what a target does with more requests than it has slots for.
type targetKind struct {
	// queue is the number of requests that wait for a slot.
	queue int
	// shedsOldest is set if a full queue rejects its oldest request for a new one, and not
	// the new one at once.
	shedsOldest bool
}

func newSimulation(t *testing.T, size simSize, kind targetKind) *simulation {
	s := &simulation{
		t: t, size: size, kind: kind, byCaller: make(map[netip.Addr]*simOutcomes), random: rand.New(rand.NewPCG(3, 4)), targets: make(map[catalog.TargetID]*simTarget),
		directory: catalog.NewDirectory(catalog.Settings{DepartedRetention: time.Minute}),
	}
	s.directory.SetConfig(catalog.Config{Version: 1, Routes: []catalog.Route{
		{Name: "feed", Address: feedAddress, Pools: []catalog.PoolWeight{{Pool: orderPool, Weight: 1}}, Idempotent: true, Priority: 2, LatencyObjective: size.objective},
		{Name: "deposit", Address: depositAddress, Pools: []catalog.PoolWeight{{Pool: orderPool, Weight: 1}}, Priority: 1, LatencyObjective: size.objective},
	}})
	for number := range size.domains * size.targets {
		target := orderTarget(number+1, simDomain(number%size.domains))
		target.Slots = simSlots
		s.directory.Put(0, target)
		s.targets[target.ID] = &simTarget{sim: s, slow: 1}
	}
	s.callerDomain = func() int { return s.random.IntN(size.domains) }
	s.startHosts()
	s.after(simTick, s.tick)
	return s
}

// startHosts starts all hosts, or restarts them with nothing known of before.
func (s *simulation) startHosts() {
	s.hosts = nil
	view, _ := s.directory.View(s.now)
	for domain := range s.size.domains {
		var hosts []*Engine
		for range s.size.hosts {
			engine := NewEngine(simDomain(domain), s.random.Float64)
			engine.SetEstimateFrom(simEstimateFrom)
			engine.SetView(s.now, view)
			hosts = append(hosts, engine)
		}
		s.hosts = append(s.hosts, hosts)
	}
}

// simEstimateFrom is the number of targets from which the simulated hosts use estimates.
const simEstimateFrom = 1

// eachHost calls do for each host.
func (s *simulation) eachHost(do func(*Engine)) {
	for _, hosts := range s.hosts {
		for _, host := range hosts {
			do(host)
		}
	}
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.now + delay, number: s.scheduled, run: run})
}

// runUntil plays the events up to a time.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// tick runs the due work of all hosts. No SYN is lost, so none is due for a retry.
func (s *simulation) tick() {
	s.eachHost(func(host *Engine) {
		host.HandleDeadlines(s.now, nil)
		for _, check := range host.DrainChecks() {
			host.RecordCheck(s.now, check.Target, CheckPassed)
		}
	})
	s.after(simTick, s.tick)
}

// arrivals calls send at random times, rate times a second on average, until end.
func (s *simulation) arrivals(rate float64, end time.Duration, send func()) {
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	if s.now+wait > end {
		return
	}
	s.after(wait, func() {
		send()
		s.arrivals(rate, end, send)
	})
}

// simFlow is the caller's end of a flow. All its packets pass through one host.
type simFlow struct {
	sim  *simulation
	host *Engine
	// packet has the addresses, the cookie and the latest sequence numbers.
	packet Packet
	target *simTarget
}

// simCallers is the number of client addresses of callers that have none of their own.
const simCallers = 200

// newCaller returns the address of a caller.
func (s *simulation) newCaller() netip.Addr {
	return netip.AddrFrom4([4]byte{100, 64, 0, byte(s.random.IntN(simCallers))})
}

// open opens a flow of a caller and passes it to then, or nil if it was refused.
func (s *simulation) open(caller netip.Addr, service netip.AddrPort, then func(*simFlow)) {
	s.nextPort++
	hosts := s.hosts[s.callerDomain()]
	f := &simFlow{sim: s, host: hosts[s.random.IntN(len(hosts))], packet: Packet{
		Client: netip.AddrPortFrom(caller, uint16(1024+s.nextPort%60_000)), Service: service, Seq: 1000,
	}}
	syn := f.packet
	syn.SYN = true
	verdict := f.host.HandlePacket(s.now, &syn)
	f.opened(verdict, then)
}

// opened handles the verdict on the SYN.
func (f *simFlow) opened(verdict Verdict, then func(*simFlow)) {
	s := f.sim
	if verdict.Action != ActionForward {
		require.Equal(s.t, ReasonOverloaded, verdict.Reason)
		s.refusals++
		s.after(2*simOneWay, func() { then(nil) })
		return
	}
	f.target = s.targets[verdict.Target.ID]
	f.packet.Cookie = verdict.Target.ID.Cookie()
	f.packet.Seq++
	f.packet.Ack = 5000
	s.after(2*simOneWay, func() { then(f) })
}

// send passes a packet of the flow to its host.
func (f *simFlow) send(p Packet) {
	verdict := f.host.HandlePacket(f.sim.now, &p)
	require.Equal(f.sim.t, ActionForward, verdict.Action, "an open flow is never broken")
}

// request sends a request; then gets whether the target executed it.
func (f *simFlow) request(then func(executed bool)) {
	p := f.packet
	p.Length = 100
	f.send(p)
	f.packet.Seq += 100
	f.sim.after(simOneWay, func() {
		f.target.arrive(func(executed bool) {
			f.sim.after(simOneWay, func() {
				f.acknowledge(executed)
				then(executed)
			})
		})
	})
}

// Sizes of an answer and of a rejection in bytes.
const (
	simAnswerSize    = 1200
	simRejectionSize = 153
)

// acknowledge acknowledges an answer or a rejection, one in two late, as clients do.
func (f *simFlow) acknowledge(executed bool) {
	if executed {
		f.packet.Ack += simAnswerSize
	} else {
		f.packet.Ack += simRejectionSize
	}
	p := f.packet
	delay := time.Duration(f.sim.random.IntN(2)) * simDelayedACK
	f.sim.after(delay, func() { f.send(p) })
}

// close closes the flow after its last acknowledgement.
func (f *simFlow) close() {
	p := f.packet
	p.FIN = true
	f.sim.after(simDelayedACK+time.Millisecond, func() { f.send(p) })
}

// arrive takes a request: it is executed, queued or rejected.
func (t *simTarget) arrive(done func(executed bool)) {
	t.arrived++
	switch {
	case t.running < simSlots:
		t.execute(done)
	case len(t.queue) < t.sim.kind.queue:
		t.queue = append(t.queue, done)
	case t.sim.kind.shedsOldest:
		oldest := t.queue[0]
		t.queue = append(t.queue[1:], done)
		oldest(false)
	default:
		done(false)
	}
}

func (t *simTarget) execute(done func(executed bool)) {
	t.running++
	work := (0.5 + t.sim.random.Float64()) * t.slow * float64(simWork)
	t.sim.after(time.Duration(work), func() {
		t.running--
		done(true)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.execute(next)
		}
	})
}

// call is a request of a caller with its retries.
type call struct {
	sim      *simulation
	caller   netip.Addr
	service  netip.AddrPort
	sentAt   time.Duration
	attempts int
	// finished gets the flow of the last attempt that was not refused, or nil.
	finished func(*simFlow)
}

// ask sends a request of any caller on a new flow and closes the flow.
func (s *simulation) ask(service netip.AddrPort) { s.askAs(s.newCaller(), service) }

// askAs sends a request of a caller on a new flow and closes the flow.
func (s *simulation) askAs(caller netip.Addr, service netip.AddrPort) {
	c := &call{sim: s, caller: caller, service: service, sentAt: s.now, finished: func(f *simFlow) {
		if f != nil {
			f.close()
		}
	}}
	c.attempt()
}

// attempt makes one attempt on a new flow.
func (c *call) attempt() {
	c.sim.open(c.caller, c.service, func(f *simFlow) {
		if f == nil {
			c.retry(nil)
			return
		}
		c.attemptOn(f)
	})
}

// attemptOn makes one attempt on an open flow.
func (c *call) attemptOn(f *simFlow) {
	f.request(func(executed bool) {
		if !executed {
			c.retry(f)
			return
		}
		c.record(true)
		c.finished(f)
	})
}

func (c *call) retry(f *simFlow) {
	c.attempts++
	if c.attempts >= simAttempts || c.sim.now-c.sentAt > simDeadline {
		c.record(false)
		c.finished(f)
		return
	}
	if f != nil {
		f.close()
	}
	c.sim.after(simRetryDelay, c.attempt)
}

// record counts the call if it was sent in the counted time.
func (c *call) record(executed bool) {
	if c.sentAt < simCountedFrom || c.sentAt >= simBurstEnd {
		return
	}
	c.sim.outcomes.count(c, executed)
	if c.sim.byCaller[c.caller] == nil {
		c.sim.byCaller[c.caller] = new(simOutcomes)
	}
	c.sim.byCaller[c.caller].count(c, executed)
	if c.service == depositAddress {
		c.sim.important.count(c, executed)
	}
}

// count counts a call that has ended.
func (o *simOutcomes) count(c *call, executed bool) {
	o.asked++
	took := c.sim.now - c.sentAt
	switch {
	case executed && took <= c.sim.size.objective:
		o.inAim++
	case executed && took <= simDeadline:
		o.late++
	default:
		o.unserved++
	}
}

// share returns the part of the requests that came in aim.
func (o *simOutcomes) share() float64 { return float64(o.inAim) / float64(max(o.asked, 1)) }

// follow has a caller send requests on one flow, rate times a second until end. A new
// flow that a retry opened replaces it.
func (s *simulation) follow(rate float64, end time.Duration) {
	var current *simFlow
	busy := false
	s.arrivals(rate, end, func() {
		if busy {
			return
		}
		busy = true
		c := &call{sim: s, caller: s.newCaller(), service: feedAddress, sentAt: s.now}
		c.finished = func(f *simFlow) { current, busy = f, false }
		if current == nil {
			c.attempt()
			return
		}
		c.attemptOn(current)
	})
}
