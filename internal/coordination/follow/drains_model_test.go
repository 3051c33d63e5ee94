package follow_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/coordination/follow"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// drainModel is the store, the drains that the operator has asked for, and three hosts: the
// second and the third read from the first.
type drainModel struct {
	now        time.Duration
	store      *modelStore
	backup     *modelStore
	asked      map[string]bool
	askedAt    map[string]time.Duration
	rewrites   []string
	restoredAt time.Duration
	hosts      []*modelHost
	// seen holds, for each host, the drains that it has had in force with knowledge from after
	// they were asked for.
	seen []map[string]bool
}

func newDrainModel() *drainModel {
	m := &drainModel{
		store: &modelStore{era: 1, revision: 1, entries: make(map[string]objects.Object), removed: make(map[string]uint64)},
		asked: make(map[string]bool), askedAt: make(map[string]time.Duration),
	}
	first := newModelHost(nil)
	m.hosts = []*modelHost{first, newModelHost(first), newModelHost(first)}
	for range m.hosts {
		m.seen = append(m.seen, make(map[string]bool))
	}
	m.backup = m.store.backup()
	return m
}

// write has the operator write what was asked for a domain.
func (m *drainModel) write(name string) {
	if m.asked[name] {
		m.store.put(name, modelTarget{})
		return
	}
	if _, exists := m.store.entries[name]; exists {
		m.store.remove(name)
	}
}

// toggle has the operator drain a domain or remove its drain.
func (m *drainModel) toggle(name string) {
	m.asked[name] = !m.asked[name]
	m.askedAt[name] = m.now
	for _, seen := range m.seen {
		delete(seen, name)
	}
	m.write(name)
}

func (m *drainModel) restore() {
	era := m.store.era
	m.store = m.backup.backup()
	m.store.era = era + 1
	m.rewrites = slices.Sorted(maps.Keys(m.asked))
	m.restoredAt = m.now
}

func (m *drainModel) rewriteAll() {
	for _, name := range m.rewrites {
		m.write(name)
	}
	m.rewrites = nil
}

// inForce returns the domains that a host takes for drained.
func (m *drainModel) inForce(host *modelHost) map[string]bool {
	view, _ := host.directory.View(m.now)
	drained := make(map[string]bool)
	for domain := range view.DrainedDomains {
		drained[string(domain)] = true
	}
	return drained
}

// step plays one random action.
func (m *drainModel) step(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
	if len(m.rewrites) > 0 && m.now-m.restoredAt > modelRewriteWithin {
		m.rewriteAll()
	}
	host := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")]
	name := fmt.Sprintf("d%d", rapid.IntRange(1, 3).Draw(t, "domain"))
	switch rapid.SampledFrom([]string{"send", "send", "send", "receive", "receive", "receive", "lose", "notice", "toggle", "again", "backup", "restore"}).Draw(t, "action") {
	case "send":
		host.sendAsOf(m.now, m.store, false)
	case "lose":
		host.sendAsOf(m.now, m.store, true)
	case "receive":
		host.receiveDrains(m.now)
	case "notice":
		host.follower.PollPeerSoon(m.now)
	case "toggle":
		if len(m.rewrites) == 0 {
			m.toggle(name)
		}
	case "again":
		if len(m.rewrites) == 0 && m.asked[name] {
			m.toggle(name)
			m.toggle(name)
		}
	case "backup":
		m.backup = m.store.backup()
	case "restore":
		if len(m.rewrites) == 0 {
			m.restore()
		}
	}
}

// settle plays on without faults.
func (m *drainModel) settle(length time.Duration) {
	m.rewriteAll()
	for end := m.now + length; m.now < end; m.now += 10 * time.Millisecond {
		for _, host := range m.hosts {
			host.sendAsOf(m.now, m.store, false)
			host.receiveDrains(m.now)
		}
	}
}

// sendAsOf makes the call that is due, if any, and notes as of when its answer is.
func (h *modelHost) sendAsOf(now time.Duration, store *modelStore, lost bool) {
	if h.flight != nil {
		return
	}
	h.send(now, store, lost)
	h.flightAsOf = now
	if h.flight != nil && h.flight.source == follow.SourcePeer {
		h.flightAsOf = h.peer.knownAsOf
	}
}

// receiveDrains handles the answer on its way as the control loop does that about drains.
func (h *modelHost) receiveDrains(now time.Duration) {
	asOf := h.flightAsOf
	change, received := h.receiveChange(now)
	if !received {
		return
	}
	if change.Complete {
		h.knownAsOf = max(h.knownAsOf, asOf)
	}
	for _, object := range change.Objects {
		switch {
		case change.Restored:
		case object.Deleted:
			h.directory.RemoveDrain(now, state.DomainID(object.Key))
		default:
			h.directory.Drain(state.DomainID(object.Key))
		}
	}
	if change.AllKeys == nil {
		return
	}
	listed := make(map[state.DomainID]bool)
	for key := range change.AllKeys {
		listed[state.DomainID(key)] = true
	}
	h.directory.ListDrains(now, listed, change.Restored)
}

// A store that goes back to backups, an operator who drains, removes and drains again, answers
// that are lost, late or from before: a drain that a host has in force is never off while it
// is asked for, and within the bound on changes all hosts know what is asked for.
func TestDrainsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDrainModel()
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			m.step(t)
			for i, host := range m.hosts {
				inForce := m.inForce(host)
				for name := range m.asked {
					if m.asked[name] && m.seen[i][name] {
						require.True(t, inForce[name], "host %d no longer drains %s", i, name)
					}
					current := host.knownAsOf > m.askedAt[name]
					m.seen[i][name] = m.seen[i][name] || current && m.asked[name] && inForce[name]
				}
			}
		}
		m.settle(modelSettleTime)
		for i, host := range m.hosts {
			for name, asked := range m.asked {
				require.Equal(t, asked, m.inForce(host)[name], "host %d, %s", i, name)
			}
		}
	})
}

// Without faults a drain is in force, and a removal takes effect, within the bound.
func TestDrainIsKnownWithinTheBound(t *testing.T) {
	const bound = 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		m := newDrainModel()
		m.settle(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			m.toggle("d1")
			m.settle(bound)
			for i, host := range m.hosts {
				require.Equal(t, m.asked["d1"], m.inForce(host)["d1"], "host %d", i)
			}
		}
	})
}
