package release

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// statusWrite is a status object that is to be written to the platform.
type statusWrite struct {
	staged  *objects.Staged
	inForce *objects.InForce
	// forwarded reports whether the write was already sent to other domains, or
	// came from one.
	forwarded bool
	createdAt time.Time
}

func (w *statusWrite) value() json.RawMessage {
	if w.staged != nil {
		return encode(w.staged)
	}
	return encode(w.inForce)
}

// writeStaged queues the write of a domain's status object for the pending
// note.
func (m *Machine) writeStaged(now time.Time, staged objects.Staged) {
	m.status.writes[stagedKey(staged.Note.ID, staged.Domain)] = &statusWrite{staged: &staged, createdAt: now}
	m.flushWrites(now)
}

// flushWrites calls the platform for every queued write that is still valid.
// While platform calls fail it also forwards the writes to hosts of other
// domains.
func (m *Machine) flushWrites(now time.Time) {
	for _, key := range slices.Sorted(maps.Keys(m.status.writes)) {
		entry := m.status.writes[key]
		if m.expired(now, entry) {
			delete(m.status.writes, key)
			continue
		}
		if m.ahead(now, entry) {
			continue
		}
		if m.platform.failures > 0 {
			m.forwardWrite(entry)
		}
		m.call(now, objects.Call{
			Verb: objects.VerbPut, Key: key, Version: m.status.storedVersions[key], Value: entry.value(),
		})
	}
}

// expired reports whether a staging status is no longer worth writing: its note
// has been decided, or the write is older than StagedWriteTimeout.
func (m *Machine) expired(now time.Time, entry *statusWrite) bool {
	if entry.staged == nil {
		return false
	}
	return entry.staged.Note.Version <= m.knownHead.Version || now.Sub(entry.createdAt) > StagedWriteTimeout
}

// ahead reports whether a status of this domain claims a newer release than now
// holds, because a host with an older release has joined. Such a write waits
// until it holds again.
func (m *Machine) ahead(now time.Time, entry *statusWrite) bool {
	if entry.inForce == nil || entry.inForce.Domain != m.settings.Self.Domain {
		return false
	}
	return m.domainStatus(now).Version < entry.inForce.Version
}

// handleStatusOutcome removes a finished status write. After a conflict it
// retries the write on the stored version, if the write still adds something.
func (m *Machine) handleStatusOutcome(now time.Time, call objects.Call, outcome objects.Outcome) {
	entry := m.status.writes[call.Key]
	if entry == nil {
		return
	}
	if entry.inForce != nil {
		m.status.storedVersions[call.Key] = outcome.Object.Version
	}
	if outcome.Result != objects.ResultConflict || entry.staged != nil {
		delete(m.status.writes, call.Key)
		return
	}
	var stored objects.InForce
	err := json.Unmarshal(outcome.Object.Value, &stored)
	if err == nil && !supersedes(*entry.inForce, stored) {
		delete(m.status.writes, call.Key)
		return
	}
	m.flushWrites(now)
}

// supersedes reports whether next has a newer release than the stored status,
// or differs from it for the same release.
func supersedes(next, stored objects.InForce) bool {
	if next.Version != stored.Version {
		return next.Version > stored.Version
	}
	return next.Hosts != stored.Hosts || !slices.Equal(next.Behind, stored.Behind)
}

// handleCallFailure resets the state that waits for the outcome of a failed
// call, so that the call is retried. It forwards a failed status write to
// hosts of other domains, which may still reach the platform.
func (m *Machine) handleCallFailure(now time.Time, call objects.Call) {
	if call.Key == objects.KeyHead && call.Verb == objects.VerbPut {
		m.coordinator.headWriteDone()
	}
	if strings.HasPrefix(call.Key, objects.PrefixStaged) && call.Verb != objects.VerbPut {
		m.coordinator.listed = false
	}
	entry := m.status.writes[call.Key]
	if entry != nil && call.Verb == objects.VerbPut {
		m.forwardWrite(entry)
	}
}

// forwardWrite sends a status write to one watcher of each other domain, once
// until allowForwarding.
func (m *Machine) forwardWrite(entry *statusWrite) {
	if entry.forwarded {
		return
	}
	entry.forwarded = true
	request := StatusWriteRequest{Staged: entry.staged, InForce: entry.inForce}
	for _, peer := range m.otherDomainWatchers() {
		m.send(peer, request)
	}
}

// otherDomainWatchers returns one random watcher of each other domain.
func (m *Machine) otherDomainWatchers() []state.Host {
	var hosts []state.Host
	for _, id := range m.members.servingDomains() {
		if id != m.settings.Self.Domain {
			hosts = append(hosts, sample(m.rng, m.members.watchers(id, ""), 1)...)
		}
	}
	return hosts
}

// receiveWriteRequest queues a status write of another domain.
func (m *Machine) receiveWriteRequest(now time.Time, request StatusWriteRequest) {
	switch {
	case request.Staged != nil:
		staged := *request.Staged
		m.status.writes[stagedKey(staged.Note.ID, staged.Domain)] = &statusWrite{staged: &staged, forwarded: true, createdAt: now}
	case request.InForce != nil:
		inForce := *request.InForce
		m.status.writes[objects.PrefixInForce+string(inForce.Domain)] = &statusWrite{inForce: &inForce, forwarded: true}
	}
	m.flushWrites(now)
}
