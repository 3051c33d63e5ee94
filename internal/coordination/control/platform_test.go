package control

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// platform is the fake platform, with fault injection.
type platform struct {
	w        *simulation
	revision uint64
	objects  map[string]objects.Object
	watches  []*pendingWatch
	// callCount is the number of calls made.
	callCount int

	down           bool
	extraDelay     time.Duration
	dropPutAnswers bool
	// unreachableFrom holds the domains that cannot reach the platform.
	unreachableFrom []state.DomainID
}

type pendingWatch struct {
	call      objects.Call
	answer    func(objects.Outcome)
	completed bool
}

// callTimeout is the client's timeout, in addition to the wait of a watch.
const callTimeout = time.Second

func newPlatform(w *simulation) *platform {
	return &platform{w: w, objects: make(map[string]objects.Object)}
}

func (s *platform) unreachable(n *node) bool {
	return s.down || slices.Contains(s.unreachableFrom, n.host.Domain)
}

// call runs a host's call after a network delay and reports its outcome once.
func (s *platform) call(n *node, act PlatformCall) {
	run, answered := n.run, false
	s.callCount++
	reply := func(outcome objects.Outcome) {
		if answered {
			return
		}
		answered = true
		if s.w.onAnswer != nil {
			s.w.onAnswer(n, act.Call, outcome)
		}
		s.w.deliver(n, run, PlatformCallCompleted{ID: act.ID, Call: act.Call, Outcome: outcome})
	}
	unknown := func() { reply(objects.Outcome{Result: objects.ResultUnknown}) }
	s.w.after(act.Call.Wait+callTimeout, unknown)
	s.w.after(2*time.Millisecond+s.extraDelay, func() {
		if s.w.onCall != nil {
			s.w.onCall(n, act.Call)
		}
		if s.unreachable(n) {
			return
		}
		s.handle(act.Call, func(outcome objects.Outcome) {
			lost := s.dropPutAnswers && act.Call.Verb == objects.VerbPut
			s.w.after(2*time.Millisecond, func() {
				if !lost && !s.unreachable(n) {
					reply(outcome)
				}
			})
		})
	})
}

func (s *platform) handle(call objects.Call, answer func(objects.Outcome)) {
	switch call.Verb {
	case objects.VerbGet:
		answer(s.get(call.Key))
	case objects.VerbPut:
		answer(s.put(call.Key, call.Version, call.Value))
	case objects.VerbList:
		answer(objects.Outcome{Page: s.page(call.Key, 0)})
	case objects.VerbWatch:
		if page := s.page(call.Key, call.After); len(page.Objects) > 0 {
			answer(objects.Outcome{Page: page})
			return
		}
		pending := &pendingWatch{call: call, answer: answer}
		s.watches = append(s.watches, pending)
		s.w.after(call.Wait, func() { s.completeWatch(pending) })
	}
}

func (s *platform) completeWatch(pending *pendingWatch) {
	if pending.completed {
		return
	}
	pending.completed = true
	s.watches = slices.DeleteFunc(s.watches, func(other *pendingWatch) bool { return other == pending })
	pending.answer(objects.Outcome{Page: s.page(pending.call.Key, pending.call.After)})
}

func (s *platform) get(key string) objects.Outcome {
	object, ok := s.objects[key]
	if !ok {
		return objects.Outcome{Result: objects.ResultAbsent}
	}
	return objects.Outcome{Object: object}
}

func (s *platform) put(key string, version uint64, value json.RawMessage) objects.Outcome {
	current := s.objects[key]
	if current.Version != version {
		return objects.Outcome{Result: objects.ResultConflict, Object: current}
	}
	s.revision++
	next := objects.Object{Key: key, Version: version + 1, Revision: s.revision, Value: value}
	s.objects[key] = next
	s.w.invariants.checkWrite(next)
	for _, pending := range slices.Clone(s.watches) {
		if strings.HasPrefix(key, pending.call.Key) {
			s.completeWatch(pending)
		}
	}
	return objects.Outcome{Object: next}
}

func (s *platform) page(prefix string, after uint64) objects.Page {
	page := objects.Page{Revision: s.revision}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && object.Revision > after {
			page.Objects = append(page.Objects, object)
		}
	}
	slices.SortFunc(page.Objects, func(a, b objects.Object) int { return int(a.Revision) - int(b.Revision) })
	return page
}

// head returns the stored head and its object version.
func (s *platform) head() (objects.Head, uint64) {
	var head objects.Head
	object, ok := s.objects[objects.KeyHead]
	if ok {
		mustDecode(object.Value, &head)
	}
	return head, object.Version
}

// submit stores a note and adds it to the head, as an operator's client does. Faults
// don't apply to it.
func (s *platform) submit(note state.Note) {
	value := mustEncode(objects.Note{ID: note.ID, Content: note, Submitted: s.w.now})
	s.put(objects.PrefixNotes+string(note.ID), 0, value)
	head, version := s.head()
	if next, changed := head.Submit(note, s.w.now); changed {
		s.put(objects.KeyHead, version, mustEncode(next))
	}
}

func mustEncode(value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

func mustDecode(text json.RawMessage, value any) {
	if err := json.Unmarshal(text, value); err != nil {
		panic(err)
	}
}
