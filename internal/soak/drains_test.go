package soak

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// hostDomain is the failure domain of the hosts and of every other target, drainDomain
	// that of the remaining ones, which the operator drains from time to time.
	hostDomain  = "a"
	drainDomain = "b"
	// drainEvery is the mean number of faults between two drains or removals of a drain.
	drainEvery = 3
	// drainForceTime is how long after the last disturbance a drain must be in force: the
	// bound, and one more for hosts that have just regained the store.
	drainForceTime = 2 * changeBound
)

// domainOf returns the failure domain of a target.
func domainOf(name string) string {
	if strings.HasSuffix(name, "1") || strings.HasSuffix(name, "5") || strings.HasSuffix(name, "9") {
		return drainDomain
	}
	return hostDomain
}

// toggleDrain drains the domain or removes its drain.
func (b *testbed) toggleDrain() {
	b.mu.Lock()
	b.drained = !b.drained
	drained := b.drained
	b.mu.Unlock()
	b.faults["domain drain"]++
	b.writeDrain(drained)
	b.markDisturbed()
}

// writeDrain writes the drain to the store, or removes it.
func (b *testbed) writeDrain(drained bool) {
	if drained {
		b.store.DrainDomain(drainDomain)
	} else {
		b.store.RemoveDrain(drainDomain)
	}
}

// maybeToggleDrain toggles the drain after one in drainEvery faults.
func (b *testbed) maybeToggleDrain(random *rand.Rand) {
	if random.IntN(drainEvery) == 0 {
		b.toggleDrain()
	}
}

// checkDrained checks that a flow was not opened at a target of a drained domain.
func (b *testbed) checkDrained(target string, opened time.Time) {
	b.mu.Lock()
	inForce := b.drained && opened.Sub(b.lastDisturbance) > drainForceTime
	b.mu.Unlock()
	if domainOf(target) != drainDomain || !inForce {
		return
	}
	b.reportViolation("flow opened at %s, whose failure domain is drained", target)
}
