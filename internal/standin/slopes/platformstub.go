package slopes

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/control"
	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// messageType is message.Message, a short name for type assertions.
type messageType = message.Message

func isWrite(call objects.Call) bool { return call.Verb == objects.VerbPut }

// platformStub is the object service of a fleet. It has no faults and no rate
// limit.
type platformStub struct {
	revision uint64
	objects  map[string]objects.Object
	watches  []pendingWatch
	// largest is the size of the largest value written, in bytes.
	largest int
}

// pendingWatch is a watch that waits for a change until its deadline.
type pendingWatch struct {
	host  *fleetHost
	call  control.PlatformCall
	until time.Time
}

func newPlatformStub() *platformStub {
	return &platformStub{objects: make(map[string]objects.Object)}
}

// call runs a call and appends its answer to out. After a write it also appends the
// answers of watches that wait for the change.
func (s *platformStub) call(now time.Time, h *fleetHost, a control.PlatformCall, out []delivery) []delivery {
	if a.Call.Verb == objects.VerbWatch {
		page := s.list(a.Call.Key, a.Call.After)
		if len(page.Objects) == 0 {
			s.watches = append(s.watches, pendingWatch{host: h, call: a, until: now.Add(a.Call.Wait)})
			return out
		}
		return append(out, newAnswer(h, a, objects.Outcome{Page: page}))
	}
	out = append(out, newAnswer(h, a, s.execute(a.Call)))
	if isWrite(a.Call) {
		out = s.answerWatches(out)
	}
	return out
}

func newAnswer(h *fleetHost, a control.PlatformCall, outcome objects.Outcome) delivery {
	return delivery{to: h, event: control.PlatformCallCompleted{ID: a.ID, Call: a.Call, Outcome: outcome}}
}

func (s *platformStub) execute(call objects.Call) objects.Outcome {
	switch call.Verb {
	case objects.VerbPut:
		return s.put(call.Key, call.Version, call.Value)
	case objects.VerbList:
		return objects.Outcome{Page: s.list(call.Key, 0)}
	}
	object, ok := s.objects[call.Key]
	if !ok {
		return objects.Outcome{Result: objects.ResultAbsent}
	}
	return objects.Outcome{Object: object}
}

func (s *platformStub) put(key string, version uint64, value json.RawMessage) objects.Outcome {
	current := s.objects[key]
	if len(value) > objects.MaxValueSize {
		return objects.Outcome{Result: objects.ResultRefused}
	}
	if current.Version != version {
		return objects.Outcome{Result: objects.ResultConflict, Object: current}
	}
	s.largest = max(s.largest, len(value))
	s.revision++
	next := objects.Object{Key: key, Version: version + 1, Revision: s.revision, Value: value}
	s.objects[key] = next
	return objects.Outcome{Object: next}
}

func (s *platformStub) list(prefix string, after uint64) objects.Page {
	page := objects.Page{Revision: s.revision}
	for key, object := range s.objects {
		if object.Revision > after && strings.HasPrefix(key, prefix) {
			page.Objects = append(page.Objects, object)
		}
	}
	sort.Slice(page.Objects, func(i, j int) bool { return page.Objects[i].Revision < page.Objects[j].Revision })
	return page
}

// answerWatches answers the watches whose prefix has changed objects.
func (s *platformStub) answerWatches(out []delivery) []delivery {
	remaining := s.watches[:0]
	for _, w := range s.watches {
		page := s.list(w.call.Call.Key, w.call.Call.After)
		if len(page.Objects) == 0 {
			remaining = append(remaining, w)
			continue
		}
		out = append(out, newAnswer(w.host, w.call, objects.Outcome{Page: page}))
	}
	s.watches = remaining
	return out
}

// expireWatches answers the watches whose wait is over with an empty page.
func (s *platformStub) expireWatches(now time.Time, out []delivery) []delivery {
	kept := s.watches[:0]
	for _, w := range s.watches {
		if now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		out = append(out, newAnswer(w.host, w.call, objects.Outcome{Page: objects.Page{Revision: s.revision}}))
	}
	s.watches = kept
	return out
}

// submitNote submits a release note like an operator's client. It reports whether
// the note is now pending.
func (s *platformStub) submitNote(now time.Time, note state.Note) (bool, error) {
	value, err := json.Marshal(objects.Note{ID: note.ID, Content: note, Submitted: now})
	if err != nil {
		return false, err
	}
	key := objects.PrefixNotes + string(note.ID)
	s.put(key, s.objects[key].Version, value)
	head, version, err := s.head()
	if err != nil {
		return false, err
	}
	next, changed := head.Submit(note, now)
	if !changed {
		return false, nil
	}
	value, err = json.Marshal(next)
	if err != nil {
		return false, err
	}
	s.put(objects.KeyHead, version, value)
	return next.Pending != nil && next.Pending.Note.ID == note.ID, nil
}

func (s *platformStub) head() (objects.Head, uint64, error) {
	var head objects.Head
	object, ok := s.objects[objects.KeyHead]
	if !ok {
		return head, 0, nil
	}
	return head, object.Version, json.Unmarshal(object.Value, &head)
}
