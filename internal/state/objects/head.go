package objects

import (
	"fmt"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Decision returns the recorded decision about a note, and whether there is one.
func (h Head) Decision(id state.NoteID) (Decision, bool) {
	for _, decision := range h.Decided {
		if decision.Note.ID == id {
			return decision, true
		}
	}
	return Decision{}, false
}

// HasNote reports whether the note is pending or the head has its decision.
func (h Head) HasNote(id state.NoteID) bool {
	_, decided := h.Decision(id)
	return decided || h.Pending != nil && h.Pending.Note.ID == id
}

// Submit returns the head after the note was submitted at the given time. The note
// becomes pending. If another note is pending, or the note's base is not the newest
// release, it is recorded as refused, with a reason that names the note that came
// first. Submit is idempotent: if the note is already pending or decided, the head does
// not change and changed is false.
func (h Head) Submit(note state.Note, now time.Time) (next Head, changed bool) {
	if h.HasNote(note.ID) {
		return h, false
	}
	ref := NoteRef{ID: note.ID, Version: note.Base + 1}
	if reason := h.refusalReason(note); reason != "" {
		refusal := Decision{Note: ref, State: NoteRefused, Reason: reason, At: now, Without: note.Without}
		return h.recordDecision(refusal), true
	}
	next = h
	next.Pending = &Pending{Note: ref, Deadline: now.Add(note.Deadline), Without: note.Without}
	return next, true
}

// refusalReason returns why a note cannot become pending, or "" if it can.
func (h Head) refusalReason(note state.Note) string {
	if h.Pending != nil {
		return fmt.Sprintf("note %s is pending", h.Pending.Note.ID)
	}
	if note.Base != h.Version {
		return fmt.Sprintf("base is %d, but note %s made release %d", note.Base, h.Accepted, h.Version)
	}
	return ""
}

// Accept returns the head after its pending note was accepted. There must be one.
func (h Head) Accept(now time.Time) Head {
	pending := h.Pending
	next := h
	next.Version = pending.Note.Version
	next.Accepted = pending.Note.ID
	next.Pending = nil
	return next.recordDecision(Decision{Note: pending.Note, State: NoteAccepted, At: now, Without: pending.Without})
}

// Refuse returns the head after its pending note was refused. There must be one.
func (h Head) Refuse(reason string, now time.Time) Head {
	pending := h.Pending
	next := h
	next.Pending = nil
	return next.recordDecision(Decision{
		Note: pending.Note, State: NoteRefused, Reason: reason, At: now, Without: pending.Without,
	})
}

// recordDecision returns the head with a decision added, and the oldest decisions
// above MaxDecided dropped. Notes accepted since the newest checkpoint are kept: a host
// that starts from the checkpoint needs them.
func (h Head) recordDecision(decision Decision) Head {
	decided := append([]Decision{decision}, h.Decided...)
	for i := len(decided) - 1; i > 0 && len(decided) > MaxDecided; i-- {
		if decided[i].State == NoteAccepted && decided[i].Note.Version > h.Checkpoint {
			continue
		}
		decided = slices.Delete(decided, i, i+1)
	}
	h.Decided = decided
	return h
}
