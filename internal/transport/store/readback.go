package store

import (
	"bytes"
	"context"
	"encoding/json"
	"reflect"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// readBack finds out what became of a write whose answer was lost, and repeats
// it while it has not run.
func (c *Client) readBack(ctx context.Context, call objects.Call, outcome objects.Outcome) objects.Outcome {
	for attempt := 1; outcome.Result == objects.ResultUnknown && attempt < c.settings.MaxAttempts; attempt++ {
		if !c.mayRetry() {
			return outcome
		}
		current := c.run(ctx, objects.Call{Verb: objects.VerbGet, Key: call.Key})
		found := compareWritten(call, current)
		c.counters.Add(CountReadBack+string(found), 1)
		switch found {
		case foundWritten:
			return objects.Outcome{Result: objects.ResultOK, Object: current.Object}
		case foundOverwritten:
			return objects.Outcome{Result: objects.ResultUnknown, Object: current.Object}
		case foundUnread:
			return outcome
		}
		outcome = c.repeat(ctx, call)
	}
	return outcome
}

// repeat sends the write again. A failed condition may now be due to the first
// attempt arriving late.
func (c *Client) repeat(ctx context.Context, call objects.Call) objects.Outcome {
	outcome := c.run(ctx, call)
	if outcome.Result != objects.ResultConflict {
		return outcome
	}
	switch compareWritten(call, outcome) {
	case foundWritten:
		return objects.Outcome{Result: objects.ResultOK, Object: outcome.Object}
	case foundOverwritten:
		return objects.Outcome{Result: objects.ResultUnknown, Object: outcome.Object}
	}
	return outcome
}

// found tells what a read after a lost answer says about the write.
type found string

const (
	// foundWritten means the object is the one written.
	foundWritten found = "written"
	// foundUnwritten means the condition still holds: the write has not run yet.
	foundUnwritten found = "unwritten"
	// foundOverwritten means that the object moved past the condition with
	// another value; the write may have run before that.
	foundOverwritten found = "overwritten"
	// foundUnread means that the read failed too.
	foundUnread found = "unread"
)

// compareWritten compares the current object with what was to be written.
func compareWritten(call objects.Call, current objects.Outcome) found {
	switch current.Result {
	case objects.ResultAbsent:
		if call.Version == 0 {
			return foundUnwritten
		}
		return foundOverwritten
	case objects.ResultOK, objects.ResultConflict:
	default:
		return foundUnread
	}
	version := current.Object.Version
	if version == call.Version {
		return foundUnwritten
	}
	if version == call.Version+1 && sameJSON(call.Value, current.Object.Value) {
		return foundWritten
	}
	return foundOverwritten
}

// sameJSON compares two JSON values whatever their white space and the order of
// their keys, for the platform may store them in another form.
func sameJSON(a, b json.RawMessage) bool {
	left, okLeft := decodeExactly(a)
	right, okRight := decodeExactly(b)
	return okLeft && okRight && reflect.DeepEqual(left, right)
}

// decodeExactly keeps numbers as they are written.
func decodeExactly(text json.RawMessage) (any, bool) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	err := decoder.Decode(&value)
	return value, err == nil
}
