package ctl

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// fakePlatform is an in-memory object store with faults.
type fakePlatform struct {
	stored map[string]objects.Object
	keys   []string
	// answersToLose is the number of writes that take effect but whose answer is
	// lost.
	answersToLose int
	down          bool
	// callsToRefuse is the number of calls to refuse before any call is executed.
	callsToRefuse int
	// beforePut runs once before the next write, for instance to write as another
	// operator.
	beforePut func(call objects.Call)
	// onDue runs once before the first call at or after due.
	onDue func()
	due   time.Time
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{stored: make(map[string]objects.Object)}
}

func (f *fakePlatform) Do(_ context.Context, call objects.Call) objects.Outcome {
	if f.callsToRefuse > 0 {
		f.callsToRefuse--
		return objects.Outcome{Result: objects.ResultRefused, RetryAfter: 100 * time.Millisecond}
	}
	if event := f.onDue; event != nil && !time.Now().Before(f.due) {
		f.onDue = nil
		event()
	}
	if f.down {
		return objects.Outcome{Result: objects.ResultUnknown}
	}
	switch call.Verb {
	case objects.VerbGet:
		return f.read(call.Key)
	case objects.VerbList:
		return f.list(call.Key)
	default:
		return f.write(call)
	}
}

func (f *fakePlatform) read(key string) objects.Outcome {
	object, present := f.stored[key]
	if !present {
		return objects.Outcome{Result: objects.ResultAbsent}
	}
	return objects.Outcome{Result: objects.ResultOK, Object: object}
}

func (f *fakePlatform) list(prefix string) objects.Outcome {
	var page objects.Page
	for _, key := range f.keys {
		if strings.HasPrefix(key, prefix) {
			page.Objects = append(page.Objects, f.stored[key])
		}
	}
	return objects.Outcome{Result: objects.ResultOK, Page: page}
}

func (f *fakePlatform) write(call objects.Call) objects.Outcome {
	if hook := f.beforePut; hook != nil {
		f.beforePut = nil
		hook(call)
	}
	current := f.stored[call.Key]
	if current.Version != call.Version {
		return objects.Outcome{Result: objects.ResultConflict, Object: current}
	}
	if current.Version == 0 {
		f.keys = append(f.keys, call.Key)
	}
	object := objects.Object{Key: call.Key, Version: current.Version + 1, Value: call.Value}
	f.stored[call.Key] = object
	if f.answersToLose > 0 {
		f.answersToLose--
		return objects.Outcome{Result: objects.ResultUnknown}
	}
	return objects.Outcome{Result: objects.ResultOK, Object: object}
}

// set stores a value whatever the version of the object, as an entry host does
// after retries.
func (f *fakePlatform) set(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	f.write(objects.Call{Key: key, Version: f.stored[key].Version, Value: data})
}
