package experiment

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// drainGrace is the time after which a leaving target must get no new flow.
const drainGrace = 3 * time.Second

// Target is an upstream.
type Target struct {
	state.Target
	sim     *Simulation
	service state.ServiceNumber
	// opened holds the flows whose opening arrived.
	opened map[*Flow]bool
	// openFlows is the number of flows openFlows here, as their callers see it.
	openFlows int
	// leavingSince is when it began to leave; 0 while it has not.
	leavingSince time.Duration
	// frozen targets answer nothing.
	frozen bool
}

// receive takes a packet that an entry host forwarded.
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

// admit opens a flow.
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

// OpenFlows returns the number of flows open at the target.
func (t *Target) OpenFlows() int { return t.openFlows }

// Freeze makes the target answer nothing.
func (t *Target) Freeze() { t.frozen = true }

// syncTargets follows the release: new targets start, missing ones begin to
// leave.
func (b *Simulation) syncTargets() {
	kept := make(map[state.TargetNumber]bool)
	for i := range b.release.Services {
		service := &b.release.Services[i]
		for _, target := range service.Targets {
			kept[target.Number] = !target.Leaving
			b.syncTarget(service.Number, target)
		}
	}
	for number, t := range b.targets {
		if !kept[number] && t.leavingSince == 0 {
			t.leavingSince = b.now
		}
	}
}

// syncTarget takes over what the release says of a target.
func (b *Simulation) syncTarget(service state.ServiceNumber, target state.Target) {
	t := b.targets[target.Number]
	if t == nil {
		t = &Target{sim: b, service: service, opened: make(map[*Flow]bool)}
		b.targets[target.Number] = t
		b.targetsByAddress[target.Address.String()] = t
	}
	t.Target = target
}

// Imbalance returns the largest number of open flows of a service's targets
// that take new flows, over the mean.
func (b *Simulation) Imbalance(service state.ServiceNumber) float64 {
	largest, sum, n := 0, 0, 0
	for _, t := range b.targets {
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
