package release

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// coordinator is the state of a host that may decide the pending note.
type coordinator struct {
	// startedAt is when the pending note became known.
	startedAt time.Time
	// stagedByDomain holds the status objects that the domains wrote about the
	// pending note.
	stagedByDomain map[state.DomainID]objects.Staged
	// listed reports whether these objects were listed since the last failure;
	// the watch continues from revision.
	listed   bool
	revision uint64
	// headWriteInFlight is true while an update of the head has no outcome yet.
	headWriteInFlight bool
	// sentHead is the head in the last update.
	sentHead objects.Head
	// writtenParts holds the keys of the checkpoint parts that were written.
	writtenParts map[string]bool
}

func newCoordinator() coordinator {
	return coordinator{
		stagedByDomain: make(map[state.DomainID]objects.Staged),
		writtenParts:   make(map[string]bool),
	}
}

// reset discards the state of the previous pending note. An update of the head
// that is in flight remains.
func (c *coordinator) reset(now time.Time) {
	inFlight, sent := c.headWriteInFlight, c.sentHead
	*c = newCoordinator()
	c.startedAt = now
	c.headWriteInFlight = inFlight
	c.sentHead = sent
}

// headWriteDone records that the update of the head has an outcome.
func (c *coordinator) headWriteDone() { c.headWriteInFlight = false }

// coordinate reads the domains' staging status and decides the pending note.
// The first coordinator acts at once, each further one after another
// TakeoverInterval.
func (m *Machine) coordinate(now time.Time) {
	pending := m.head.Pending
	if pending == nil || m.headVersion != m.knownHead.ObjectVersion || m.coordinator.headWriteInFlight {
		return
	}
	// Hosts of all versions must hash the same text to agree on the order.
	rank := hostIndex(m.members.coordinators("drive "+string(pending.Note.ID)), m.settings.Self.ID)
	if rank < 0 || now.Sub(m.coordinator.startedAt) < time.Duration(rank)*TakeoverInterval {
		return
	}
	prefix := objects.PrefixStaged + string(pending.Note.ID) + "/"
	if !m.coordinator.listed {
		m.call(now, objects.Call{Verb: objects.VerbList, Key: prefix})
		return
	}
	m.call(now, objects.Call{Verb: objects.VerbWatch, Key: prefix, After: m.coordinator.revision, Wait: WatchTimeout})
	m.decide(now, pending)
}

// handleStagedOutcome records the domains' staging status that was read.
func (m *Machine) handleStagedOutcome(now time.Time, call objects.Call, outcome objects.Outcome) {
	pending := m.head.Pending
	if pending == nil || call.Key != objects.PrefixStaged+string(pending.Note.ID)+"/" {
		return
	}
	m.coordinator.listed = true
	m.coordinator.revision = max(m.coordinator.revision, outcome.Page.Revision)
	for _, object := range outcome.Page.Objects {
		var staged objects.Staged
		if err := json.Unmarshal(object.Value, &staged); err != nil {
			m.log("release_staged_invalid", err.Error())
			continue
		}
		m.coordinator.stagedByDomain[staged.Domain] = staged
	}
	m.coordinate(now)
}

// requiredDomains lists the domains that must stage a note before it is
// accepted.
func (m *Machine) requiredDomains(note *objects.Note) []state.DomainID {
	var required []state.DomainID
	if m.current != nil {
		required = slices.Clone(m.current.Domains)
	}
	for _, id := range note.Content.AddDomains {
		if !slices.Contains(required, id) {
			required = append(required, id)
		}
	}
	return slices.DeleteFunc(required, func(id state.DomainID) bool {
		return slices.Contains(note.Content.Without, id)
	})
}

// decide accepts or refuses the pending note by one conditional update of the
// head. A refusal needs one failed staging or the deadline; acceptance needs
// every required domain and this host's own check.
func (m *Machine) decide(now time.Time, pending *objects.Pending) {
	note := m.notes.find(pending.Note.ID)
	if note == nil || note.Content.Base != m.Version() {
		return
	}
	if m.staging.checked && m.staging.release == nil {
		m.refuse(now, fmt.Sprintf("host %s: %s", m.settings.Self.ID, m.staging.reason))
		return
	}
	var missing []string
	for _, id := range m.requiredDomains(note) {
		staged, ok := m.coordinator.stagedByDomain[id]
		if ok && !staged.OK {
			m.refuse(now, fmt.Sprintf("domain %s: %s", id, staged.Reason))
			return
		}
		if !ok {
			missing = append(missing, string(id))
		}
	}
	if !m.staging.checked {
		return
	}
	if len(missing) == 0 || (m.settings.Variant == VariantAcceptAfterAnyDomain && len(m.coordinator.stagedByDomain) > 0) {
		m.writeHead(now, m.head.Accept(now))
		return
	}
	if now.After(pending.Deadline) || now.Sub(m.coordinator.startedAt) > note.Content.Deadline+DeadlineMargin {
		m.refuse(now, m.timeoutReason(missing))
	}
}

// timeoutReason names the domains that did not stage the note in time and, if
// this host's own domain is among them, its hosts that sent no report.
func (m *Machine) timeoutReason(missing []string) string {
	reason := fmt.Sprintf("domain %s: not staged before the deadline", strings.Join(missing, ", "))
	hosts := m.unreportedHosts()
	if slices.Contains(missing, string(m.settings.Self.Domain)) && len(hosts) > 0 {
		reason += fmt.Sprintf("; no answer from %s", strings.Join(hosts, ", "))
	}
	return reason
}

// refuse records the pending note as refused.
func (m *Machine) refuse(now time.Time, reason string) {
	if m.settings.Variant == VariantSeparateRefusals {
		m.call(now, objects.Call{
			Verb:  objects.VerbPut,
			Key:   prefixSeparateRefusals + string(m.head.Pending.Note.ID),
			Value: encode(m.head.Refuse(reason, now).Decided[0]),
		})
		return
	}
	m.writeHead(now, m.head.Refuse(reason, now))
}

// writeHead writes the next head on condition that the head object is unchanged
// since it was read.
func (m *Machine) writeHead(now time.Time, next objects.Head) {
	m.coordinator.sentHead = next
	m.coordinator.headWriteInFlight = m.call(now, objects.Call{
		Verb: objects.VerbPut, Key: objects.KeyHead, Version: m.headVersion, Value: encode(next),
	})
}
