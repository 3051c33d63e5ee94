// Package experiment simulates a few entry hosts, their callers and targets in
// virtual time, to measure and test package traffic. The hosts run real traffic
// engines, the network has delays and losses, and callers retransmit. The counts
// include broken, refused and misrouted flows. Membership and releases aren't
// simulated: whoever runs the simulation schedules their changes.
package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Link describes the delays and losses of the network.
type Link struct {
	// IntraDomain is the delay within a failure domain, InterDomain that between
	// two.
	IntraDomain time.Duration
	InterDomain time.Duration
	// Caller is the delay between a caller and any host or target.
	Caller time.Duration
	// Jitter is the largest increase of a delay, as a fraction of it.
	Jitter float64
	// Loss is the fraction of packets lost between failure domains, and between
	// callers and hosts or targets.
	Loss float64
}

// event is a function to run at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
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

// Counts are the results of a run.
type Counts struct {
	// Opened counts flows that a target answered, Broken those of them that were
	// reset, refused or unanswered afterwards.
	Opened int
	Broken int
	// Refused counts openings that an entry host refused, Unanswered those that
	// were reset or had no answer to any attempt.
	Refused    int
	Unanswered int
	// Finished counts flows whose last packet was answered.
	Finished int
	// WrongService counts packets that reached a target of another service.
	WrongService int
	// TwoTargets counts flows whose payload reached a second target.
	TwoTargets int
	// RefusedAtTarget counts refused flows whose opening reached a target.
	RefusedAtTarget int
	// LateOpenings counts flows opened at a target more than drainGrace after it
	// began to leave.
	LateOpenings int
	// Packets counts packets from callers that reached an entry host; Hops
	// counts their relays from host to host, InterDomainHops the relays between
	// failure domains.
	Packets         int
	Hops            int
	InterDomainHops int
	// RecordMessages counts messages about flow records between hosts.
	RecordMessages int
	// Reasons counts the engines' decisions by reason.
	Reasons map[traffic.Reason]int
}

// String returns the counts on one line.
func (c Counts) String() string {
	return fmt.Sprintf("opened %d broken %d refused %d unanswered %d wrong service %d two targets %d refused at target %d late openings %d"+
		" hops/packet %.2f inter-domain hops/packet %.2f record messages %d reasons %v",
		c.Opened, c.Broken, c.Refused, c.Unanswered, c.WrongService, c.TwoTargets, c.RefusedAtTarget, c.LateOpenings,
		c.perPacket(c.Hops), c.perPacket(c.InterDomainHops), c.RecordMessages, c.Reasons)
}

// perPacket returns a count per packet that reached an entry host.
func (c Counts) perPacket(n int) float64 { return float64(n) / float64(max(c.Packets, 1)) }

// Simulation holds hosts, targets, callers and the events to come.
type Simulation struct {
	Counts           Counts
	Settings         traffic.Settings
	link             Link
	random           *rand.Rand
	start            time.Time
	now              time.Duration
	seq              uint64
	events           eventQueue
	hosts            []*Host
	hostsByID        map[state.HostID]*Host
	targets          map[state.TargetNumber]*Target
	targetsByAddress map[string]*Target
	// isolated is the failure domain that is partitioned from the others, if any.
	isolated state.DomainID
	// lastCaller is the number of the last caller. Numbering starts at random.
	lastCaller uint32
	flows      []*Flow
	release    state.Release
}

// NewSimulation returns a simulation without hosts.
func NewSimulation(seed uint64, link Link, settings traffic.Settings) *Simulation {
	random := rand.New(rand.NewPCG(seed, seed))
	return &Simulation{
		Counts:           Counts{Reasons: make(map[traffic.Reason]int)},
		Settings:         settings,
		link:             link,
		random:           random,
		lastCaller:       random.Uint32(),
		start:            time.Unix(1_700_000_000, 0),
		hostsByID:        make(map[state.HostID]*Host),
		targets:          make(map[state.TargetNumber]*Target),
		targetsByAddress: make(map[string]*Target),
	}
}

// AfterFunc schedules fn to run after d of virtual time.
func (sim *Simulation) AfterFunc(d time.Duration, fn func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now + d, seq: sim.seq, run: fn})
}

// Run advances the virtual time by d and runs all events that fall due.
func (sim *Simulation) Run(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= end {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

// ScheduleEvenly schedules n calls of fn, evenly spaced over d, with i from 0.
func (sim *Simulation) ScheduleEvenly(n int, d time.Duration, fn func(i int)) {
	for i := range n {
		sim.AfterFunc(d*time.Duration(i)/time.Duration(n), func() { fn(i) })
	}
}

// virtualTime returns the current virtual time.
func (sim *Simulation) virtualTime() time.Time { return sim.start.Add(sim.now) }

// jittered returns a delay with random jitter added.
func (sim *Simulation) jittered(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*sim.link.Jitter*sim.random.Float64())
}

// lost reports whether the next packet is lost, at random.
func (sim *Simulation) lost() bool { return sim.random.Float64() < sim.link.Loss }

// deliver calls fn after the delay between two failure domains, or within one. It
// doesn't if the packet is lost or one of the two domains is isolated.
func (sim *Simulation) deliver(from, to state.DomainID, fn func()) {
	if from == to {
		sim.AfterFunc(sim.jittered(sim.link.IntraDomain), fn)
		return
	}
	if sim.lost() || from == sim.isolated || to == sim.isolated {
		return
	}
	sim.AfterFunc(sim.jittered(sim.link.InterDomain), fn)
}

// deliverOverCallerLink calls fn after the delay between a caller and a host or
// target, unless the packet is lost.
func (sim *Simulation) deliverOverCallerLink(fn func()) {
	if sim.lost() {
		return
	}
	sim.AfterFunc(sim.jittered(sim.link.Caller), fn)
}
