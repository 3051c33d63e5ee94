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
	bed     *Bed
	service state.ServiceNumber
	// known holds the flows whose opening arrived.
	known map[*Flow]bool
	// open is the number of flows open here, as their callers see it.
	open int
	// leftAt is when it began to leave; 0 while it has not.
	leftAt time.Duration
	// frozen targets answer nothing.
	frozen bool
}

// receive takes a packet that an entry host forwarded.
func (t *Target) receive(s segment) {
	f := s.flow
	if f.service.Number != t.service {
		t.bed.Counts.WrongService++
		return
	}
	if t.frozen {
		return
	}
	if s.kind == traffic.KindSYN || s.kind == traffic.KindDatagram && f.target == nil {
		t.admit(f)
	} else if !t.owns(s) {
		t.bed.toCaller(f.reset)
		return
	}
	t.bed.toCaller(func() { f.answered(s.number, t) })
}

// admit opens a flow.
func (t *Target) admit(f *Flow) {
	if t.known[f] {
		return
	}
	t.known[f] = true
	f.seen = true
	if f.rejected {
		t.bed.Counts.RefusedSeen++
	}
	if t.leftAt > 0 && t.bed.now-t.leftAt > drainGrace {
		t.bed.Counts.LateOpenings++
	}
}

// owns reports whether a packet in mid-flow belongs to a flow opened here.
func (t *Target) owns(s segment) bool {
	f := s.flow
	if f.target == t {
		return true
	}
	if f.target != nil && s.payload > 0 && !f.stray {
		f.stray = true
		t.bed.Counts.TwoTargets++
	}
	return false
}

// Open returns the number of flows open at the target.
func (t *Target) Open() int { return t.open }

// Freeze makes the target answer nothing.
func (t *Target) Freeze() { t.frozen = true }

// syncTargets follows the release: new targets start, missing ones begin to
// leave.
func (b *Bed) syncTargets() {
	kept := make(map[state.TargetNumber]bool)
	for i := range b.release.Services {
		service := &b.release.Services[i]
		for _, target := range service.Targets {
			kept[target.Number] = !target.Leaving
			b.syncTarget(service.Number, target)
		}
	}
	for number, t := range b.targets {
		if !kept[number] && t.leftAt == 0 {
			t.leftAt = b.now
		}
	}
}

// syncTarget takes over what the release says of a target.
func (b *Bed) syncTarget(service state.ServiceNumber, target state.Target) {
	t := b.targets[target.Number]
	if t == nil {
		t = &Target{bed: b, service: service, known: make(map[*Flow]bool)}
		b.targets[target.Number] = t
		b.byKey[target.Address.String()] = t
	}
	t.Target = target
}

// Imbalance returns the largest number of open flows of a service's targets
// that take new flows, over the mean.
func (b *Bed) Imbalance(service state.ServiceNumber) float64 {
	largest, sum, n := 0, 0, 0
	for _, t := range b.targets {
		if t.service != service || t.leftAt > 0 {
			continue
		}
		largest = max(largest, t.open)
		sum += t.open
		n++
	}
	if sum == 0 {
		return 0
	}
	return float64(largest) * float64(n) / float64(sum)
}
