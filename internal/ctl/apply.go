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

// Codes of a note that cannot be handed in.
const (
	CodeNoteIDTaken   = "note_id_taken"
	CodeHeadContended = "head_contended"
)

// Attempts and pauses of the hand-in.
const (
	maxSubmitAttempts  = 20
	statusPollInterval = 200 * time.Millisecond
)

// Submit stores the note and makes it pending. It is idempotent by note id: a
// repeated call for a note that is pending or decided changes nothing. An
// error with CodeNoteIDTaken means the note was not handed in; any other error
// leaves the outcome unknown.
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
	return oops.Code(CodeHeadContended).Errorf("the head changed %d times while handing in", maxSubmitAttempts)
}

// ensureNote writes the note's object, or makes sure that it is there already.
// It reports whether this call is known to have written it.
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

// trySubmit tries once to make the note pending. After a lost answer the caller
// tries again: the next read of the head shows whether the update took effect.
// A note that was stored before and that the head does not name may have been
// decided so long ago that its decision is no longer kept; with an old base it
// is left alone, lest an accepted note be recorded as refused.
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

// Wait reads the note's status until it is final or ctx ends. The last status
// that was read is returned with the error of the last read.
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
