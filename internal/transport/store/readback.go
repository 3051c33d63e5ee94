package store

import (
	"bytes"
	"context"
	"encoding/json"
	"reflect"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// readBack determines by reading the object whether a write without a definite response
// was executed. It retries the write while it was not, up to MaxAttempts.
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
		outcome = c.retryWrite(ctx, call)
	}
	return outcome
}

// retryWrite sends the write again. A refusal or a version conflict then concerns this
// attempt only: the platform may still execute the first one, or may have executed it
// meanwhile.
func (c *Client) retryWrite(ctx context.Context, call objects.Call) objects.Outcome {
	outcome := c.runWithRetries(ctx, call)
	switch {
	case outcome.Result == objects.ResultRefused:
		outcome.Result = objects.ResultUnknown
	case outcome.Result == objects.ResultConflict && writeStatusOf(call, outcome) == statusWritten:
		outcome.Result = objects.ResultOK
	case outcome.Result == objects.ResultConflict:
		outcome.Result = objects.ResultUnknown
	}
	return outcome
}

// writeStatus is what the current object shows about a write without a definite response.
type writeStatus string

const (
	// statusWritten means the object has the written value and the version that follows
	// the expected one.
	statusWritten writeStatus = "written"
	// statusUnwritten means the object still has the expected version: the write has not
	// been executed yet.
	statusUnwritten writeStatus = "unwritten"
	// statusOverwritten means the object has neither the expected version nor the result of
	// the write; the write may have been executed before another one.
	statusOverwritten writeStatus = "overwritten"
	// statusUnread means that the read failed as well.
	statusUnread writeStatus = "unread"
)

// writeStatusOf compares the current object with the write.
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

// sameJSON reports whether two JSON values are equal apart from white space and the
// order of keys, which the platform may change when it stores a value.
func sameJSON(a, b json.RawMessage) bool {
	left, okLeft := decodeJSON(a)
	right, okRight := decodeJSON(b)
	return okLeft && okRight && reflect.DeepEqual(left, right)
}

// decodeJSON decodes a value and keeps numbers as text, so that large ones compare exactly.
func decodeJSON(data json.RawMessage) (any, bool) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	err := decoder.Decode(&value)
	return value, err == nil
}
