package ctl

import (
	"context"
	"fmt"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/samber/oops"
)

// CodeReleaseIncomplete is the error code of a release that cannot be built from
// the stored objects.
const CodeReleaseIncomplete = "release_incomplete"

// Release returns the newest accepted release. It applies the notes accepted
// since the newest checkpoint to that checkpoint. It returns nil before the
// first release.
func (s *Store) Release(ctx context.Context) (*state.Release, error) {
	head, _, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	release, err := s.loadCheckpoint(ctx, head.Checkpoint)
	if err != nil {
		return nil, err
	}
	return s.applyDecided(ctx, head, release)
}

func (s *Store) loadCheckpoint(ctx context.Context, version state.ReleaseVersion) (*state.Release, error) {
	if version == 0 {
		return nil, nil
	}
	list, err := s.list(ctx, fmt.Sprintf("%s%d/", objects.PrefixCheckpoints, version))
	if err != nil {
		return nil, err
	}
	parts, err := decodeAll[objects.Checkpoint](list)
	if err != nil {
		return nil, err
	}
	release := objects.AssembleCheckpoint(parts)
	if release == nil {
		return nil, oops.Code(CodeReleaseIncomplete).Errorf("checkpoint %d is missing parts", version)
	}
	return release, nil
}

func (s *Store) applyDecided(ctx context.Context, head objects.Head, release *state.Release) (*state.Release, error) {
	for i := len(head.Decided) - 1; i >= 0; i-- {
		decision := head.Decided[i]
		if decision.State != objects.NoteAccepted || decision.Note.Version <= versionOf(release) {
			continue
		}
		next, err := s.applyNote(ctx, release, decision.Note)
		if err != nil {
			return nil, err
		}
		release = next
	}
	if versionOf(release) != head.Version {
		return nil, oops.Code(CodeReleaseIncomplete).Errorf("release %d cannot be built from the checkpoint and the decisions kept", head.Version)
	}
	return release, nil
}

func (s *Store) applyNote(ctx context.Context, base *state.Release, ref objects.NoteRef) (*state.Release, error) {
	var note objects.Note
	if _, err := s.get(ctx, objects.PrefixNotes+string(ref.ID), &note); err != nil {
		return nil, err
	}
	next, problems := state.Apply(base, &note.Content)
	if len(problems) > 0 {
		return nil, oops.Code(CodeReleaseIncomplete).Errorf("note %s: %s", ref.ID, problems[0])
	}
	return next, nil
}

func versionOf(release *state.Release) state.ReleaseVersion {
	if release == nil {
		return 0
	}
	return release.Version
}
