package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// suspicionTimeout is how long a suspicion lasts before the host counts as dead.
func (m *Machine) suspicionTimeout(known *member) time.Duration {
	others := m.domainSize() - 1
	needed := min(SuspicionConfirmations, others-1)
	confirmed := len(known.suspectedBy) - 1
	if confirmed >= needed {
		return SuspicionMin
	}
	extra := SuspicionStep * time.Duration(bits.Len(uint(others)))
	return SuspicionMin + extra/time.Duration(confirmed+1)
}

// checkSuspicions ends suspicions that nobody refuted.
func (m *Machine) checkSuspicions() {
	m.table.each(func(k *member) {
		if k.status != state.HostSuspect {
			return
		}
		if m.now.Sub(k.suspectedAt) >= m.suspicionTimeout(k) {
			m.setStatus(k, state.HostDead, "")
		}
	})
}

// probeSuspects tells the hosts that this host suspects itself, so that one
// lost message does not cost a live host its chance to refute.
func (m *Machine) probeSuspects() {
	if m.now.Before(m.nextSuspects) {
		return
	}
	m.nextSuspects = m.now.Add(SuspectInterval)
	suspects := m.table.filter(func(k *member) bool {
		return k.status == state.HostSuspect && slices.Contains(k.suspectedBy, m.self.ID)
	})
	for range min(MaxSuspectProbes, len(suspects)) {
		m.suspectTurn = (m.suspectTurn + 1) % len(suspects)
		host := suspects[m.suspectTurn].host
		m.send(host, Probe{Gossip: m.gossipFor(host)})
	}
}

// forgetDead drops the entries of hosts that have been dead for long.
func (m *Machine) forgetDead() {
	expired := m.table.filter(func(k *member) bool {
		return k.dead() && m.now.Sub(k.diedAt) >= TombstoneRetention
	})
	for _, k := range expired {
		m.table.remove(k.host.ID)
		m.updates.remove(k.host.ID)
		m.changed()
	}
}

// absorbPause keeps this host's own pause from passing for the silence of the
// others.
func (m *Machine) absorbPause(gap time.Duration) {
	if gap < PauseThreshold {
		return
	}
	clear(m.probes.pending)
	clear(m.probes.errands)
	m.table.each(func(k *member) { k.suspectedAt = k.suspectedAt.Add(gap) })
	m.sync = newSync()
}
