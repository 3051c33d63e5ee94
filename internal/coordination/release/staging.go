package release

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// staging is what this host and its peers in the domain reported about the
// pending note.
type staging struct {
	// checked reports whether this host has checked the note. If it is valid,
	// release is the release that it would produce; else reason says what is
	// wrong.
	checked bool
	release *state.Release
	reason  string
	// reportedAt is when this host last sent its report, checkedAt when it
	// checked the note.
	reportedAt time.Time
	checkedAt  time.Time
	// reports holds the reports of this host and of its peers.
	reports map[state.HostID]StagingReport
	// written reports whether the domain's status object was queued for writing.
	written bool
}

func newStaging() staging {
	return staging{reports: make(map[state.HostID]StagingReport)}
}

// reset discards the reports about a note that is no longer pending. The
// release that the note would produce is kept: the note may have been accepted.
func (s *staging) reset() {
	release := s.release
	*s = newStaging()
	s.release = release
}

// joinProblems joins the problems of a note into one reason.
func joinProblems(problems []state.Problem) string {
	texts := make([]string, 0, len(problems))
	for _, problem := range problems {
		texts = append(texts, problem.String())
	}
	return strings.Join(texts, "; ")
}

// stagePending checks the pending note and reports to the watchers of this
// domain, again after every StagingReportInterval because reports may be lost.
func (m *Machine) stagePending(now time.Time) {
	pending := m.knownHead.Pending
	if pending == nil {
		return
	}
	if !m.staging.checked && !m.checkPending(now, pending) {
		return
	}
	if now.Sub(m.staging.reportedAt) < StagingReportInterval {
		return
	}
	m.staging.reportedAt = now
	report := StagingReport{Note: pending.Note, OK: m.staging.release != nil, Reason: m.staging.reason}
	m.staging.reports[m.settings.Self.ID] = report
	for _, watcher := range m.members.watchers(m.settings.Self.Domain, "") {
		m.send(watcher, report)
	}
	m.aggregateStaging(now)
}

// checkPending checks the pending note if this host holds its content and the
// release that it applies to, and reports whether it did. A valid note's
// release is kept.
func (m *Machine) checkPending(now time.Time, pending *objects.Pending) bool {
	note := m.notes.find(pending.Note.ID)
	if note == nil {
		m.requestNote(now, pending.Note.ID)
		return false
	}
	if note.Content.Base > m.Version() {
		return false
	}
	m.staging.checked = true
	m.staging.checkedAt = now
	m.staging.release = nil
	next, problems := state.Apply(m.current, &note.Content)
	if len(problems) > 0 {
		m.staging.reason = joinProblems(problems)
		return true
	}
	m.staging.release = next
	return true
}

// requestNote requests a note from a peer that holds it and, on a watcher, from
// the platform.
func (m *Machine) requestNote(now time.Time, id state.NoteID) {
	if m.isWatcher(now) {
		m.readNote(now, id)
	}
	m.requestNoteFromPeer(now, id)
}

// receiveStagingReport records a report from a peer of this domain about the
// pending note.
func (m *Machine) receiveStagingReport(now time.Time, from state.Host, report StagingReport) {
	if m.knownHead.Pending == nil || m.knownHead.Pending.Note != report.Note || from.Domain != m.settings.Self.Domain {
		return
	}
	m.staging.reports[from.ID] = report
	m.aggregateStaging(now)
}

// aggregateStaging writes this domain's status object for the pending note once
// every serving host has staged the note or one of them found a problem. The
// second watcher waits for TakeoverInterval.
func (m *Machine) aggregateStaging(now time.Time) {
	pending := m.knownHead.Pending
	if pending == nil || m.staging.written || !m.staging.checked {
		return
	}
	rank, ok := m.reporterRank(now)
	if !ok || now.Sub(m.staging.checkedAt) < time.Duration(rank)*TakeoverInterval {
		return
	}
	staged, complete := m.domainStaged(pending.Note)
	if !complete {
		return
	}
	m.staging.written = true
	m.writeStaged(now, staged)
}

// domainStaged aggregates the reports of this domain's serving hosts. It
// reports whether the result is final: all hosts reported, or one found a
// problem.
func (m *Machine) domainStaged(ref objects.NoteRef) (objects.Staged, bool) {
	staged := objects.Staged{Note: ref, Domain: m.settings.Self.Domain, OK: true}
	complete := true
	for _, host := range m.members.servingIn(m.settings.Self.Domain) {
		report, ok := m.staging.reports[host.ID]
		switch {
		case !ok:
			complete = false
		case !report.OK:
			staged.OK = false
			staged.Reason = string(host.ID) + ": " + report.Reason
		default:
			staged.Hosts++
		}
	}
	return staged, complete || !staged.OK
}

// unreportedHosts lists the serving hosts of this domain that sent no report.
func (m *Machine) unreportedHosts() []string {
	var ids []string
	for _, host := range m.members.servingIn(m.settings.Self.Domain) {
		if _, ok := m.staging.reports[host.ID]; !ok {
			ids = append(ids, string(host.ID))
		}
	}
	return ids
}

// stagedKey returns the key of a domain's status object for a note.
func stagedKey(note state.NoteID, domain state.DomainID) string {
	return objects.PrefixStaged + string(note) + "/" + string(domain)
}

// encode returns the JSON encoding of a stored object. It panics if the type
// cannot be encoded, which is a programming error.
func encode(value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		panic("release: cannot encode object as JSON: " + err.Error())
	}
	return text
}
