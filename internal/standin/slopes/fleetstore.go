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

// messageType shortens message.Message.
type messageType = message.Message

func isWrite(call objects.Call) bool { return call.Verb == objects.VerbPut }

// fleetStore is the platform of a fleet. It never fails.
type fleetStore struct {
	revision uint64
	objects  map[string]objects.Object
	watches  []fleetWatch
	// largest is the size of the largest value written.
	largest int
}

// fleetWatch is a watch that waits.
type fleetWatch struct {
	host  *fleetHost
	call  control.PlatformCall
	until time.Time
}

func newFleetStore() *fleetStore {
	return &fleetStore{objects: make(map[string]objects.Object)}
}

// call appends the answers that a call brings about.
func (s *fleetStore) call(now time.Time, h *fleetHost, a control.PlatformCall, out []delivery) []delivery {
	if a.Call.Verb == objects.VerbWatch {
		page := s.page(a.Call.Key, a.Call.After)
		if len(page.Objects) == 0 {
			s.watches = append(s.watches, fleetWatch{host: h, call: a, until: now.Add(a.Call.Wait)})
			return out
		}
		return append(out, answerTo(h, a, objects.Outcome{Page: page}))
	}
	out = append(out, answerTo(h, a, s.outcome(a.Call)))
	if isWrite(a.Call) {
		out = s.notify(out)
	}
	return out
}

func answerTo(h *fleetHost, a control.PlatformCall, outcome objects.Outcome) delivery {
	return delivery{to: h, event: control.PlatformCallCompleted{ID: a.ID, Call: a.Call, Outcome: outcome}}
}

func (s *fleetStore) outcome(call objects.Call) objects.Outcome {
	switch call.Verb {
	case objects.VerbPut:
		return s.put(call.Key, call.Version, call.Value)
	case objects.VerbList:
		return objects.Outcome{Page: s.page(call.Key, 0)}
	}
	object, ok := s.objects[call.Key]
	if !ok {
		return objects.Outcome{Result: objects.ResultAbsent}
	}
	return objects.Outcome{Object: object}
}

func (s *fleetStore) put(key string, version uint64, value json.RawMessage) objects.Outcome {
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

func (s *fleetStore) page(prefix string, after uint64) objects.Page {
	page := objects.Page{Revision: s.revision}
	for key, object := range s.objects {
		if object.Revision > after && strings.HasPrefix(key, prefix) {
			page.Objects = append(page.Objects, object)
		}
	}
	sort.Slice(page.Objects, func(i, j int) bool { return page.Objects[i].Revision < page.Objects[j].Revision })
	return page
}

// notify answers the watches that have something to tell.
func (s *fleetStore) notify(out []delivery) []delivery {
	kept := s.watches[:0]
	for _, w := range s.watches {
		page := s.page(w.call.Call.Key, w.call.Call.After)
		if len(page.Objects) == 0 {
			kept = append(kept, w)
			continue
		}
		out = append(out, answerTo(w.host, w.call, objects.Outcome{Page: page}))
	}
	s.watches = kept
	return out
}

// expire answers the watches whose wait is over.
func (s *fleetStore) expire(now time.Time, out []delivery) []delivery {
	kept := s.watches[:0]
	for _, w := range s.watches {
		if now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		out = append(out, answerTo(w.host, w.call, objects.Outcome{Page: objects.Page{Revision: s.revision}}))
	}
	s.watches = kept
	return out
}

// submit hands a note in as an operator's client does. It tells whether the
// note is now pending.
func (s *fleetStore) submit(now time.Time, note state.Note) (bool, error) {
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

func (s *fleetStore) head() (objects.Head, uint64, error) {
	var head objects.Head
	object, ok := s.objects[objects.KeyHead]
	if !ok {
		return head, 0, nil
	}
	return head, object.Version, json.Unmarshal(object.Value, &head)
}
