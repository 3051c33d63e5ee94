// Package experiment joins the engines of a few entry hosts by a small fake
// link under virtual time, with callers that retransmit and targets that count
// what a user would feel. It serves measurements and tests of package traffic;
// membership and releases are scheduled by the caller, not simulated.
package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Link describes delays and losses.
type Link struct {
	// IntraDomain is the delay within a failure domain, Between that between two.
	IntraDomain  time.Duration
	InterDomain time.Duration
	// Caller is the delay between a caller and any host or target.
	Caller time.Duration
	// Jitter is the largest relative increase of a delay.
	Jitter float64
	// Loss is the share of packets lost between failure domains, and of those
	// between callers and hosts.
	Loss float64
}

// event is something due at a time.
type event struct {
	at  time.Duration
	seq uint64
	run  func()
}

// eventQueue is a heap of events by time, then by order of creation.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// Counts is what a run measured.
type Counts struct {
	// Opened flows had an answer from a target; Broken ones then lost it.
	Opened int
	Broken int
	// Refused flows were answered by an entry host; Unanswered gave up opening.
	Refused    int
	Unanswered int
	Finished   int
	// WrongService counts packets at a target of another service.
	WrongService int
	// TwoTargets counts flows whose payload reached a second target.
	TwoTargets int
	// RefusedAtTarget counts refused flows whose opening some target saw.
	RefusedAtTarget int
	// LateOpenings counts flows opened at a target long after it began to leave.
	LateOpenings int
	// Packets counts packets from callers that reached an entry host; Hops
	// counts relays of them and BetweenHops those between failure domains.
	Packets     int
	Hops        int
	InterDomainHops int
	// RecordMessages counts record messages.
	RecordMessages int
	// Reasons counts decisions by reason.
	Reasons map[traffic.Reason]int
}

// String returns the counts on one line.
func (c Counts) String() string {
	return fmt.Sprintf("opened %d broken %d refused %d unanswered %d wrong %d two %d seen %d late %d"+
		" hops/packet %.2f between %.2f notices %d reasons %v",
		c.Opened, c.Broken, c.Refused, c.Unanswered, c.WrongService, c.TwoTargets, c.RefusedAtTarget, c.LateOpenings,
		c.perPacket(c.Hops), c.perPacket(c.InterDomainHops), c.RecordMessages, c.Reasons)
}

// perPacket divides a count by the packets that arrived.
func (c Counts) perPacket(n int) float64 { return float64(n) / float64(max(c.Packets, 1)) }

// Simulation is a running experiment.
type Simulation struct {
	Counts   Counts
	Settings traffic.Settings
	link     Link
	random   *rand.Rand
	start    time.Time
	now      time.Duration
	seq      uint64
	events   eventQueue
	hosts    []*Host
	hostsByID     map[state.HostID]*Host
	targets  map[state.TargetNumber]*Target
	targetsByAddress    map[string]*Target
	// isolated is the failure domain that is isolated off from the others, if any.
	isolated state.DomainID
	// lastCaller numbers the lastCaller, from a random start.
	lastCaller uint32
	flows   []*Flow
	release state.Release
}

// NewSimulation returns an experiment without hosts.
func NewSimulation(seed uint64, link Link, settings traffic.Settings) *Simulation {
	random := rand.New(rand.NewPCG(seed, seed))
	return &Simulation{
		Counts:   Counts{Reasons: make(map[traffic.Reason]int)},
		Settings: settings,
		link:     link,
		random:   random,
		lastCaller:  random.Uint32(),
		start:    time.Unix(1_700_000_000, 0),
		hostsByID:     make(map[state.HostID]*Host),
		targets:  make(map[state.TargetNumber]*Target),
		targetsByAddress:    make(map[string]*Target),
	}
}

// AfterFunc schedules something.
func (b *Simulation) AfterFunc(d time.Duration, do func()) {
	b.seq++
	heap.Push(&b.events, event{at: b.now + d, seq: b.seq, run: do})
}

// Run runs all events of the next d.
func (b *Simulation) Run(d time.Duration) {
	end := b.now + d
	for len(b.events) > 0 && b.events[0].at <= end {
		next := heap.Pop(&b.events).(event)
		b.now = next.at
		next.run()
	}
	b.now = end
}

// ScheduleEvenly schedules something n times, evenly over d.
func (b *Simulation) ScheduleEvenly(n int, d time.Duration, do func(i int)) {
	for i := range n {
		b.AfterFunc(d*time.Duration(i)/time.Duration(n), func() { do(i) })
	}
}

// virtualTime returns the virtual virtualTime.
func (b *Simulation) virtualTime() time.Time { return b.start.Add(b.now) }

// jittered lengthens a delay at random.
func (b *Simulation) jittered(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*b.link.Jitter*b.random.Float64())
}

// lost decides whether a packet is lost.
func (b *Simulation) lost() bool { return b.random.Float64() < b.link.Loss }

// deliver sends something from one failure domain to another or the same.
func (b *Simulation) deliver(from, to state.DomainID, do func()) {
	if from == to {
		b.AfterFunc(b.jittered(b.link.IntraDomain), do)
		return
	}
	if b.lost() || from == b.isolated || to == b.isolated {
		return
	}
	b.AfterFunc(b.jittered(b.link.InterDomain), do)
}

// deliverOverCallerLink sends something between a caller and a host or target.
func (b *Simulation) deliverOverCallerLink(do func()) {
	if b.lost() {
		return
	}
	b.AfterFunc(b.jittered(b.link.Caller), do)
}
