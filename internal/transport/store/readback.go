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
		if !c.spendRetry() {
			return outcome
		}
		current := c.runWithRetries(ctx, objects.Call{Verb: objects.VerbGet, Key: call.Key})
		status := writeStatusOf(call, current)
		c.counters.Add(CountReadBack+string(status), 1)
		switch status {
		case statusWritten:
			return objects.Outcome{Result: objects.ResultOK, Object: current.Object}
		case statusOverwritten:
			return objects.Outcome{Result: objects.ResultUnknown, Object: current.Object}
		case statusUnread:
			return outcome
		}
		outcome = c.repeatWrite(ctx, call)
	}
	return outcome
}

// repeatWrite sends the write again. A failed condition may now be due to the first
// attempt arriving late.
func (c *Client) repeatWrite(ctx context.Context, call objects.Call) objects.Outcome {
	outcome := c.runWithRetries(ctx, call)
	if outcome.Result != objects.ResultConflict {
		return outcome
	}
	switch writeStatusOf(call, outcome) {
	case statusWritten:
		return objects.Outcome{Result: objects.ResultOK, Object: outcome.Object}
	case statusOverwritten:
		return objects.Outcome{Result: objects.ResultUnknown, Object: outcome.Object}
	}
	return outcome
}

// writeStatus tells what a read after a lost answer says about the write.
type writeStatus string

const (
	// statusWritten means the object is the one written.
	statusWritten writeStatus = "written"
	// statusUnwritten means the condition still holds: the write has not run yet.
	statusUnwritten writeStatus = "unwritten"
	// statusOverwritten means that the object moved past the condition with
	// another value; the write may have run before that.
	statusOverwritten writeStatus = "overwritten"
	// statusUnread means that the read failed too.
	statusUnread writeStatus = "unread"
)

// writeStatusOf compares the current object with what was to be written.
func writeStatusOf(call objects.Call, current objects.Outcome) writeStatus {
	switch current.Result {
	case objects.ResultAbsent:
		if call.Version == 0 {
			return statusUnwritten
		}
		return statusOverwritten
	case objects.ResultOK, objects.ResultConflict:
	default:
		return statusUnread
	}
	version := current.Object.Version
	if version == call.Version {
		return statusUnwritten
	}
	if version == call.Version+1 && sameJSON(call.Value, current.Object.Value) {
		return statusWritten
	}
	return statusOverwritten
}

// sameJSON compares two JSON values whatever their white space and the order of
// their keys, for the platform may store them in another form.
func sameJSON(a, b json.RawMessage) bool {
	left, okLeft := decodeJSON(a)
	right, okRight := decodeJSON(b)
	return okLeft && okRight && reflect.DeepEqual(left, right)
}

// decodeJSON keeps numbers as they are written.
func decodeJSON(data json.RawMessage) (any, bool) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	err := decoder.Decode(&value)
	return value, err == nil
}
