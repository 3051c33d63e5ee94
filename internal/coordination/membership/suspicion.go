package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// suspicionTimeout returns how long a suspicion lasts before the host is marked dead.
// Confirmations by other hosts shorten it.
func (m *Machine) suspicionTimeout(known *member) time.Duration {
	peers := m.localDomainSize() - 1
	needed := min(SuspicionConfirmations, peers-1)
	confirmations := len(known.suspectedBy) - 1
	if confirmations >= needed {
		return MinSuspicionTimeout
	}
	extra := SuspicionTimeoutStep * time.Duration(bits.Len(uint(peers)))
	return MinSuspicionTimeout + extra/time.Duration(confirmations+1)
}

// expireSuspicions marks the suspects dead whose timeout has passed without a
// refutation.
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

// probeSuspects repeatedly notifies the hosts that this host itself suspects, so that
// one lost message does not keep a live host from refuting.
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

// expireTombstones removes the entries of hosts that have been dead for
// TombstoneRetention.
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

// handleLocalPause discards pending probes, extends suspicions and restarts the initial
// sync after a pause of this process, so that the pause is not mistaken for a failure of
// the other hosts.
func (m *Machine) handleLocalPause(gap time.Duration) {
	if gap < PauseThreshold {
		return
	}
	clear(m.probes.pending)
	clear(m.probes.relayed)
	m.members.forEach(func(k *member) { k.suspectedAt = k.suspectedAt.Add(gap) })
	m.sync = newSyncProgress()
}
