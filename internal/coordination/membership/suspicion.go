package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// suspicionTimeout is how long a suspicion lasts before the host counts as dead.
func (m *Machine) suspicionTimeout(known *member) time.Duration {
	others := m.localDomainSize() - 1
	needed := min(SuspicionConfirmations, others-1)
	confirmed := len(known.suspectedBy) - 1
	if confirmed >= needed {
		return MinSuspicionTimeout
	}
	extra := SuspicionTimeoutStep * time.Duration(bits.Len(uint(others)))
	return MinSuspicionTimeout + extra/time.Duration(confirmed+1)
}

// expireSuspicions ends suspicions that nobody refuted.
func (m *Machine) expireSuspicions() {
	m.members.forEach(func(k *member) {
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
	if m.now.Before(m.nextSuspectProbesAt) {
		return
	}
	m.nextSuspectProbesAt = m.now.Add(SuspectProbeInterval)
	suspects := m.members.filter(func(k *member) bool {
		return k.status == state.HostSuspect && slices.Contains(k.suspectedBy, m.self.ID)
	})
	for range min(MaxSuspectProbes, len(suspects)) {
		m.suspectCursor = (m.suspectCursor + 1) % len(suspects)
		host := suspects[m.suspectCursor].host
		m.send(host, Probe{Gossip: m.gossipFor(host)})
	}
}

// expireTombstones drops the entries of hosts that have been dead for long.
func (m *Machine) expireTombstones() {
	expired := m.members.filter(func(k *member) bool {
		return k.dead() && m.now.Sub(k.diedAt) >= TombstoneRetention
	})
	for _, k := range expired {
		m.members.remove(k.host.ID)
		m.updates.remove(k.host.ID)
		m.invalidate()
	}
}

// handleLocalPause keeps this host's own pause from passing for the silence of the
// others.
func (m *Machine) handleLocalPause(gap time.Duration) {
	if gap < PauseThreshold {
		return
	}
	clear(m.probes.pending)
	clear(m.probes.relayed)
	m.members.forEach(func(k *member) { k.suspectedAt = k.suspectedAt.Add(gap) })
	m.sync = newSyncProgress()
}
