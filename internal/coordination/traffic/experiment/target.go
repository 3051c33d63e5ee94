package experiment

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// drainGrace is how long a target that began to leave may still get new flows.
const drainGrace = 3 * time.Second

// Target is a simulated target.
type Target struct {
	state.Target
	sim     *Simulation
	service state.ServiceNumber
	// opened holds the flows whose opening reached the target.
	opened map[*Flow]bool
	// openFlows is the number of flows that their callers regard as open here.
	openFlows int
	// leavingSince is the virtual time at which the target began to leave, or 0.
	leavingSince time.Duration
	// frozen is true while the target answers no packet.
	frozen bool
}

// receive handles a packet that an entry host forwarded. A packet in mid-flow of a
// flow that was not opened here is answered by a RST.
func (t *Target) receive(s segment) {
	f := s.flow
	if f.service.Number != t.service {
		t.sim.Counts.WrongService++
		return
	}
	if t.frozen {
		return
	}
	if s.kind == traffic.KindSYN || s.kind == traffic.KindDatagram && f.target == nil {
		t.admit(f)
	} else if !t.ownsFlow(s) {
		t.sim.deliverOverCallerLink(f.handleReset)
		return
	}
	t.sim.deliverOverCallerLink(func() { f.handleAnswer(s.number, t) })
}

// admit records the opening of a flow; a copy of an opening changes nothing.
func (t *Target) admit(f *Flow) {
	if t.opened[f] {
		return
	}
	t.opened[f] = true
	f.reachedTarget = true
	if f.wasRefused {
		t.sim.Counts.RefusedAtTarget++
	}
	if t.leavingSince > 0 && t.sim.now-t.leavingSince > drainGrace {
		t.sim.Counts.LateOpenings++
	}
}

// ownsFlow reports whether a packet in mid-flow belongs to a flow opened here.
func (t *Target) ownsFlow(s segment) bool {
	f := s.flow
	if f.target == t {
		return true
	}
	if f.target != nil && s.payload > 0 && !f.reachedSecondTarget {
		f.reachedSecondTarget = true
		t.sim.Counts.TwoTargets++
	}
	return false
}

// OpenFlowCount returns the number of flows open at the target.
func (t *Target) OpenFlowCount() int { return t.openFlows }

// Freeze makes the target stop answering.
func (t *Target) Freeze() { t.frozen = true }

// syncTargets applies the release to the targets: it starts those that are new,
// and those that are drained or withdrawn begin to leave.
func (sim *Simulation) syncTargets() {
	kept := make(map[state.TargetNumber]bool)
	for i := range sim.release.Services {
		service := &sim.release.Services[i]
		for _, target := range service.Targets {
			kept[target.Number] = !target.Leaving
			sim.syncTarget(service.Number, target)
		}
	}
	for number, t := range sim.targets {
		if !kept[number] && t.leavingSince == 0 {
			t.leavingSince = sim.now
		}
	}
}

// syncTarget updates a target from the release, or creates it.
func (sim *Simulation) syncTarget(service state.ServiceNumber, target state.Target) {
	t := sim.targets[target.Number]
	if t == nil {
		t = &Target{sim: sim, service: service, opened: make(map[*Flow]bool)}
		sim.targets[target.Number] = t
		sim.targetsByAddress[target.Address.String()] = t
	}
	t.Target = target
}

// Imbalance returns the open flows of a service's busiest target over the mean.
// Targets that are leaving don't count.
func (sim *Simulation) Imbalance(service state.ServiceNumber) float64 {
	largest, sum, n := 0, 0, 0
	for _, t := range sim.targets {
		if t.service != service || t.leavingSince > 0 {
			continue
		}
		largest = max(largest, t.openFlows)
		sum += t.openFlows
		n++
	}
	if sum == 0 {
		return 0
	}
	return float64(largest) * float64(n) / float64(sum)
}
