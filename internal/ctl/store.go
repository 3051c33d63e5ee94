// Package ctl implements the verbs of guavactl: submitting release notes,
// showing their status and reading the state of entry hosts.
package ctl

import (
	"context"
	"encoding/json"

	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/samber/oops"
)

// Error codes of calls to the platform.
const (
	CodePlatformRefused  = "platform_refused"
	CodePlatformNoAnswer = "platform_no_answer"
	CodePlatformBadValue = "platform_bad_value"
)

// Platform executes one call of the platform's object API.
type Platform interface {
	Do(ctx context.Context, call objects.Call) objects.Outcome
}

// Store reads and writes release objects on the platform.
type Store struct {
	platform Platform
}

// NewStore returns a store that uses the platform.
func NewStore(platform Platform) *Store {
	return &Store{platform: platform}
}

// Head returns the head and the version of its object; both are zero before the
// first note.
func (s *Store) Head(ctx context.Context) (objects.Head, uint64, error) {
	var head objects.Head
	version, err := s.get(ctx, objects.KeyHead, &head)
	return head, version, err
}

// get decodes an object into value and returns its version, or 0 if the object
// does not exist.
func (s *Store) get(ctx context.Context, key string, value any) (uint64, error) {
	outcome := s.platform.Do(ctx, objects.Call{Verb: objects.VerbGet, Key: key})
	switch outcome.Result {
	case objects.ResultOK:
		return outcome.Object.Version, decode(outcome.Object, value)
	case objects.ResultAbsent:
		return 0, nil
	default:
		return 0, outcomeError(key, outcome)
	}
}

// list returns the objects whose keys start with prefix.
func (s *Store) list(ctx context.Context, prefix string) ([]objects.Object, error) {
	outcome := s.platform.Do(ctx, objects.Call{Verb: objects.VerbList, Key: prefix})
	if outcome.Result != objects.ResultOK {
		return nil, outcomeError(prefix, outcome)
	}
	return outcome.Page.Objects, nil
}

// put writes a value on condition that the object has the version; with version
// 0 it creates the object.
func (s *Store) put(ctx context.Context, key string, version uint64, value any) (objects.Outcome, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return objects.Outcome{}, oops.Code(CodePlatformBadValue).With("key", key).Wrap(err)
	}
	call := objects.Call{Verb: objects.VerbPut, Key: key, Version: version, Value: data}
	return s.platform.Do(ctx, call), nil
}

func decode(object objects.Object, value any) error {
	if err := json.Unmarshal(object.Value, value); err != nil {
		return oops.Code(CodePlatformBadValue).With("key", object.Key).Wrap(err)
	}
	return nil
}

// decodeAll decodes each object into a T.
func decodeAll[T any](list []objects.Object) ([]T, error) {
	values := make([]T, 0, len(list))
	for _, object := range list {
		var value T
		if err := decode(object, &value); err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

// outcomeError returns the error for an outcome other than OK.
func outcomeError(key string, outcome objects.Outcome) error {
	if outcome.Result == objects.ResultRefused {
		return oops.Code(CodePlatformRefused).With("key", key).
			Errorf("the platform refused the call; retry after %s", outcome.RetryAfter)
	}
	return oops.Code(CodePlatformNoAnswer).With("key", key).
		Errorf("the platform did not answer for %s", key)
}
