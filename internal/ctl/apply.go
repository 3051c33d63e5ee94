package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/samber/oops"
)

// Error codes of Submit.
const (
	CodeNoteIDTaken   = "note_id_taken"
	CodeHeadContended = "head_contended"
)

// Limit on the attempts to update the head, and interval between reads of a
// note's status.
const (
	maxSubmitAttempts  = 20
	statusPollInterval = 200 * time.Millisecond
)

// Submit stores the note and makes it pending. It is idempotent by note id: a
// repeated call for a note that is pending or decided changes nothing. An
// error with CodeNoteIDTaken means that the note was not submitted; after any
// other error the outcome is unknown.
func (s *Store) Submit(ctx context.Context, note *state.Note, now time.Time) error {
	created, err := s.ensureNote(ctx, note, now)
	if err != nil {
		return err
	}
	for range maxSubmitAttempts {
		finished, err := s.trySubmit(ctx, note, created, now)
		if finished || err != nil {
			return err
		}
	}
	return oops.Code(CodeHeadContended).Errorf("the head could not be updated in %d attempts to submit the note", maxSubmitAttempts)
}

// ensureNote creates the note's object, or verifies that it exists with the same
// content. It reports whether this call is known to have created it. An object
// with other content is an error with CodeNoteIDTaken.
func (s *Store) ensureNote(ctx context.Context, note *state.Note, now time.Time) (bool, error) {
	key := objects.PrefixNotes + string(note.ID)
	stored := objects.Note{ID: note.ID, Content: *note, Submitted: now}
	outcome, err := s.put(ctx, key, 0, stored)
	if err != nil || outcome.Result == objects.ResultOK {
		return true, err
	}
	if outcome.Result == objects.ResultRefused {
		return false, outcomeError(key, outcome)
	}
	var present objects.Note
	version, err := s.get(ctx, key, &present)
	if err != nil {
		return false, err
	}
	if version == 0 {
		return false, outcomeError(key, outcome)
	}
	if !equalNotes(&present.Content, note) {
		return false, oops.Code(CodeNoteIDTaken).With("note", note.ID).
			Errorf("another note has the id %s", note.ID)
	}
	return false, nil
}

func equalNotes(a, b *state.Note) bool {
	first, errFirst := json.Marshal(a)
	second, errSecond := json.Marshal(b)
	return errFirst == nil && errSecond == nil && bytes.Equal(first, second)
}

// trySubmit makes one attempt to make the note pending and reports whether no
// further attempt is needed. After a lost answer the caller tries again: the
// next read of the head shows whether the update took effect.
//
// If the note was stored before and the head does not list it, it may have been
// decided so long ago that the head no longer keeps the decision. With a base
// older than the head it is therefore not submitted again; otherwise an accepted
// note could be recorded as refused.
func (s *Store) trySubmit(ctx context.Context, note *state.Note, created bool, now time.Time) (bool, error) {
	head, version, err := s.Head(ctx)
	if err != nil {
		return false, err
	}
	if !created && !head.HasNote(note.ID) && note.Base < head.Version {
		return true, nil
	}
	next, changed := head.Submit(*note, now)
	if !changed {
		return true, nil
	}
	outcome, err := s.put(ctx, objects.KeyHead, version, next)
	if err != nil {
		return false, err
	}
	switch outcome.Result {
	case objects.ResultOK:
		return true, nil
	case objects.ResultRefused:
		return false, outcomeError(objects.KeyHead, outcome)
	default:
		return false, nil
	}
}

// Wait polls the note's status until it is final or ctx ends. It returns the
// last status that was read. If ctx ends first, it also returns the error of
// the last read, if any.
func (s *Store) Wait(ctx context.Context, id state.NoteID) (NoteStatus, error) {
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	last := NoteStatus{Note: id, State: StateUnknown}
	for {
		status, err := s.Status(ctx, id)
		if err == nil {
			last = status
		}
		if last.Final() {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, err
		case <-ticker.C:
		}
	}
}
