package release

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// platformState tracks calls to the platform and the last contact with it.
type platformState struct {
	outstanding map[callKey]bool
	failures    int
	retryAt     time.Time
	// lastContact is when the platform last answered this host or, according to
	// received digests, another host.
	lastContact time.Time
	// headListed reports whether the head was listed since the last failure; its
	// watch continues from revision.
	headListed bool
	revision   uint64
}

func newPlatformState() platformState {
	return platformState{outstanding: make(map[callKey]bool)}
}

// backOff records a failed call and draws the wait before the next one:
// exponential backoff with full jitter, at least retryAfter.
func (p *platformState) backOff(now time.Time, rng *rand.Rand, retryAfter time.Duration) {
	limit := InitialBackoff << min(p.failures, 6)
	limit = min(limit, MaxBackoff)
	p.failures++
	wait := time.Duration(rng.Int64N(int64(limit) + 1))
	p.retryAt = now.Add(max(wait, retryAfter))
	p.headListed = false
}

// call queues a platform call and reports whether it did: not while the same
// call is outstanding or before the backoff has passed.
func (m *Machine) call(now time.Time, call objects.Call) bool {
	key := callKey{call.Verb, call.Key}
	if m.platform.outstanding[key] || now.Before(m.platform.retryAt) {
		return false
	}
	m.platform.outstanding[key] = true
	m.out.Calls = append(m.out.Calls, call)
	return true
}

// HandleOutcome handles the outcome of a platform call.
func (m *Machine) HandleOutcome(now time.Time, call objects.Call, outcome objects.Outcome) {
	m.detectPause(now)
	delete(m.platform.outstanding, callKey{call.Verb, call.Key})
	switch outcome.Result {
	case objects.ResultRefused, objects.ResultUnknown:
		m.platform.backOff(now, m.rng, outcome.RetryAfter)
		m.handleCallFailure(now, call)
		return
	}
	m.platform.failures = 0
	m.recordContact(now, now)
	m.dispatchOutcome(now, call, outcome)
	m.advance(now)
	m.stagePending(now)
	m.aggregateStaging(now)
	m.coordinate(now)
}

func (m *Machine) dispatchOutcome(now time.Time, call objects.Call, outcome objects.Outcome) {
	switch {
	case call.Key == objects.KeyHead:
		m.handleHeadOutcome(now, call, outcome)
	case strings.HasPrefix(call.Key, objects.PrefixNotes):
		m.handleNoteOutcome(now, outcome)
	case strings.HasPrefix(call.Key, objects.PrefixStaged) && call.Verb != objects.VerbPut:
		m.handleStagedOutcome(now, call, outcome)
	case strings.HasPrefix(call.Key, objects.PrefixCheckpoints):
		m.handleCheckpointOutcome(now, call, outcome)
	default:
		m.handleStatusOutcome(now, call, outcome)
	}
}

// isWatcher reports whether this host should watch the platform. While
// disconnected, the watchers rotate among the hosts of the domain.
func (m *Machine) isWatcher(now time.Time) bool {
	salt := ""
	if m.disconnected(now) {
		salt = rotationSalt(now)
	}
	watchers := m.members.watchers(m.settings.Self.Domain, salt)
	return hostIndex(watchers, m.settings.Self.ID) >= 0
}

// disconnected reports whether, as far as this host knows, the platform has not
// answered any host for longer than DisconnectedAfter.
func (m *Machine) disconnected(now time.Time) bool {
	return now.Sub(m.platform.lastContact) > DisconnectedAfter
}

// watchHead keeps a watch on the head while this host is a watcher.
func (m *Machine) watchHead(now time.Time) {
	if !m.isWatcher(now) {
		m.platform.headListed = false
		return
	}
	if !m.platform.headListed {
		m.call(now, objects.Call{Verb: objects.VerbList, Key: objects.KeyHead})
		return
	}
	m.call(now, objects.Call{
		Verb: objects.VerbWatch, Key: objects.KeyHead, After: m.platform.revision, Wait: WatchTimeout,
	})
}

// handleHeadOutcome adopts the head from the outcome of a list, a watch or an
// update.
func (m *Machine) handleHeadOutcome(now time.Time, call objects.Call, outcome objects.Outcome) {
	switch call.Verb {
	case objects.VerbList, objects.VerbWatch:
		m.platform.headListed = true
		m.platform.revision = max(m.platform.revision, outcome.Page.Revision)
		for _, object := range outcome.Page.Objects {
			m.adoptHeadObject(now, object)
		}
		m.watchHead(now)
	default:
		m.coordinator.headWriteDone()
		if m.settings.Variant == VariantUnconditionalWrite && outcome.Result == objects.ResultConflict {
			m.headVersion = outcome.Object.Version
			m.writeHead(now, m.coordinator.sentHead)
			return
		}
		m.adoptHeadObject(now, outcome.Object)
	}
}

// adoptHeadObject adopts a head object read from the platform if it is newer
// than the last one read.
func (m *Machine) adoptHeadObject(now time.Time, object objects.Object) {
	if object.Key != objects.KeyHead || object.Version <= m.headVersion {
		return
	}
	var head objects.Head
	if err := json.Unmarshal(object.Value, &head); err != nil {
		m.log("release_head_invalid", err.Error())
		return
	}
	m.head = head
	m.headVersion = object.Version
	digest := HeadDigest{
		ObjectVersion: object.Version,
		Version:       head.Version,
		Accepted:      head.Accepted,
		Without:       acceptedWithout(head),
		Pending:       head.Pending,
	}
	m.adoptHead(now, digest)
}

// acceptedWithout returns the domains whose staging the newest accepted note
// did not wait for.
func acceptedWithout(head objects.Head) []state.DomainID {
	decision, ok := head.Decision(head.Accepted)
	if !ok {
		return nil
	}
	return decision.Without
}
