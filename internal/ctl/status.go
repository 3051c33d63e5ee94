package ctl

import (
	"context"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// StateUnknown is the state of a note whose state the platform's objects do
// not show.
const StateUnknown objects.NoteState = "unknown"

// NoteStatus is the state of a release note and its progress in each failure
// domain.
type NoteStatus struct {
	Note    state.NoteID         `json:"note"`
	State   objects.NoteState    `json:"state"`
	Version state.ReleaseVersion `json:"version"`
	Reason  string               `json:"reason,omitempty"`
	// At is when the note was accepted or refused.
	At time.Time `json:"at,omitzero"`
	// Deadline is when a note that is still pending is refused.
	Deadline time.Time        `json:"deadline,omitzero"`
	Without  []state.DomainID `json:"without,omitempty"`
	Domains  []DomainStatus   `json:"domains"`
}

// Final reports whether the status cannot change any more.
func (s NoteStatus) Final() bool {
	return s.State == objects.NoteInForce || s.State == objects.NoteRefused
}

// DomainStatus is the progress of a note in one failure domain.
type DomainStatus struct {
	Domain state.DomainID `json:"domain"`
	Staged string         `json:"staged"`
	Reason string         `json:"reason,omitempty"`
	// ReleaseInForce is the oldest release that a host of the domain has in
	// force, since Since. Behind lists the alive hosts with an older one.
	ReleaseInForce state.ReleaseVersion `json:"runs"`
	Since          time.Time            `json:"since,omitzero"`
	Behind         []state.HostID       `json:"behind,omitempty"`
	// Awaited describes what the note still waits for in the domain; empty when
	// it is in force there.
	Awaited string `json:"awaited,omitempty"`
}

// Status returns the status of one note.
func (s *Store) Status(ctx context.Context, id state.NoteID) (NoteStatus, error) {
	head, _, err := s.Head(ctx)
	if err != nil {
		return NoteStatus{}, err
	}
	var stored objects.Note
	version, err := s.get(ctx, objects.PrefixNotes+string(id), &stored)
	if err != nil {
		return NoteStatus{}, err
	}
	if version == 0 {
		return NoteStatus{Note: id, State: StateUnknown, Reason: "no such note"}, nil
	}
	return s.noteStatus(ctx, head, stored)
}

func (s *Store) noteStatus(ctx context.Context, head objects.Head, note objects.Note) (NoteStatus, error) {
	status := statusFromHead(head, note)
	if status.State == objects.NoteRefused || status.State == StateUnknown {
		return status, nil
	}
	staged, err := s.listStaged(ctx, note.ID)
	if err != nil {
		return status, err
	}
	inForce, err := s.listInForce(ctx)
	if err != nil {
		return status, err
	}
	domains, err := s.participatingDomains(ctx, note)
	if err != nil {
		return status, err
	}
	for _, domain := range domains {
		status.Domains = append(status.Domains, domainStatus(domain, status, staged, inForce))
	}
	status.advanceState()
	return status, nil
}

// statusFromHead returns the status of a note from the head alone, without its
// progress in the failure domains.
func statusFromHead(head objects.Head, note objects.Note) NoteStatus {
	status := NoteStatus{
		Note:    note.ID,
		State:   objects.NoteSubmitted,
		Version: note.Content.Base + 1,
		Without: note.Content.Without,
	}
	if decision, decided := head.Decision(note.ID); decided {
		status.State = decision.State
		status.Reason = decision.Reason
		status.At = decision.At
		return status
	}
	if head.Pending != nil && head.Pending.Note.ID == note.ID {
		status.Deadline = head.Pending.Deadline
		return status
	}
	status.State = StateUnknown
	status.Reason = "stored, but neither pending nor among the decisions kept: it was decided long ago or never submitted"
	return status
}

// advanceState sets a submitted note to staged if every domain not listed in
// Without has staged it, and an accepted note to in force if every such domain
// has a release of at least the note's version in force. A note without domains
// keeps its state.
func (s *NoteStatus) advanceState() {
	staged, inForce := len(s.Domains) > 0, len(s.Domains) > 0
	for _, domain := range s.Domains {
		if slices.Contains(s.Without, domain.Domain) {
			continue
		}
		staged = staged && domain.Staged == StagedYes
		inForce = inForce && domain.ReleaseInForce >= s.Version
	}
	switch {
	case s.State == objects.NoteSubmitted && staged:
		s.State = objects.NoteStaged
	case s.State == objects.NoteAccepted && inForce:
		s.State = objects.NoteInForce
	}
}

// Values of DomainStatus.Staged: whether a domain has staged the note, has
// refused to, or has not answered yet.
const (
	StagedYes     = "yes"
	StagedNo      = "no"
	StagedAwaited = "awaited"
)

// domainStatus returns the progress of a note in the domain from what the
// domains reported.
func domainStatus(domain state.DomainID, note NoteStatus, staged []objects.Staged, inForce []objects.InForce) DomainStatus {
	status := DomainStatus{Domain: domain, Staged: StagedAwaited}
	for _, answer := range staged {
		if answer.Domain == domain {
			status.Staged = stagedText(answer.OK)
			status.Reason = answer.Reason
		}
	}
	for _, report := range inForce {
		if report.Domain == domain {
			status.ReleaseInForce = report.Version
			status.Since = report.Since
			status.Behind = report.Behind
		}
	}
	status.Awaited = awaitedText(status, note)
	return status
}

func stagedText(ok bool) string {
	if ok {
		return StagedYes
	}
	return StagedNo
}

// awaitedText returns what the note still waits for in a domain; it is empty when
// the accepted note is in force there.
func awaitedText(domain DomainStatus, note NoteStatus) string {
	switch {
	case domain.ReleaseInForce >= note.Version && note.State != objects.NoteSubmitted:
		return ""
	case note.State == objects.NoteAccepted && slices.Contains(note.Without, domain.Domain):
		return "the note was accepted without it; it catches up on its return"
	case note.State == objects.NoteAccepted:
		return "its hosts have yet to report the release in force"
	case domain.Staged == StagedYes:
		return "the other domains"
	case slices.Contains(note.Without, domain.Domain):
		return "nothing: the note does not wait for it"
	default:
		return "its hosts have yet to check the note"
	}
}

func (s *Store) listStaged(ctx context.Context, id state.NoteID) ([]objects.Staged, error) {
	list, err := s.list(ctx, objects.PrefixStaged+string(id)+"/")
	if err != nil {
		return nil, err
	}
	return decodeAll[objects.Staged](list)
}

func (s *Store) listInForce(ctx context.Context) ([]objects.InForce, error) {
	list, err := s.list(ctx, objects.PrefixInForce)
	if err != nil {
		return nil, err
	}
	return decodeAll[objects.InForce](list)
}

// participatingDomains returns the sorted domains that take part in a note:
// those of the newest accepted release with the note's own additions and
// withdrawals.
func (s *Store) participatingDomains(ctx context.Context, note objects.Note) ([]state.DomainID, error) {
	release, err := s.Release(ctx)
	if err != nil {
		return nil, err
	}
	var domains []state.DomainID
	if release != nil {
		domains = slices.Clone(release.Domains)
	}
	domains = append(domains, note.Content.AddDomains...)
	domains = slices.DeleteFunc(domains, func(id state.DomainID) bool {
		return slices.Contains(note.Content.WithdrawDomains, id)
	})
	slices.Sort(domains)
	return slices.Compact(domains), nil
}

// History returns the decisions that the head keeps, newest first, after the
// pending note if there is one.
func (s *Store) History(ctx context.Context) ([]objects.Decision, error) {
	head, _, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	var rows []objects.Decision
	if head.Pending != nil {
		rows = append(rows, objects.Decision{Note: head.Pending.Note, State: objects.NoteSubmitted, Without: head.Pending.Without})
	}
	return append(rows, head.Decided...), nil
}
