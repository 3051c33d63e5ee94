package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is the platform's metadata store. Its answers are linearizable.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	objects  map[string]map[string]object
	history  map[string][]event
	// fault, unless nil, may handle a call itself.
	fault func(w http.ResponseWriter, r *http.Request) bool
}

func newStore() *store {
	s := &store{revision: 10, objects: map[string]map[string]object{}, history: map[string][]event{}}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		// Wakes the watches whose wait has ended.
		for range time.Tick(5 * time.Millisecond) {
			s.changed.Broadcast()
		}
	}()
	return s
}

// put writes an object; its return is the store's acknowledgement. A spec that changes
// nothing does not increase the revision.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(data) {
		return
	}
	s.revision++
	o := object{Meta: meta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: data, Status: json.RawMessage("null")}
	if exists {
		o.Meta.Created = old.Meta.Created
	}
	s.objects[kind][name] = o
	s.history[kind] = append(s.history[kind], event{Object: o})
	s.changed.Broadcast()
}

// beat writes an entry of a target. The entry changes only if more than sequence does.
func (s *store) beat(kind, name string, entry map[string]any) {
	s.mu.Lock()
	old, exists := s.objects[kind][name]
	s.mu.Unlock()
	var stored map[string]any
	if exists && json.Unmarshal(old.Spec, &stored) == nil && sameBut("sequence", entry, stored) {
		return
	}
	s.put(kind, name, entry)
}

// sameBut reports whether two entries are the same but for one field, which both have.
func sameBut(field string, entry, stored map[string]any) bool {
	if _, has := stored[field]; !has || len(entry) != len(stored) {
		return false
	}
	for key, value := range entry {
		if key != field && fmt.Sprint(value) != fmt.Sprint(toInt(stored[key])) {
			return false
		}
	}
	return true
}

// toInt returns a number of a decoded JSON document as an integer.
func toInt(value any) any {
	if number, ok := value.(float64); ok {
		return int64(number)
	}
	return value
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	if !exists {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	old.Meta.Revision = s.revision
	s.history[kind] = append(s.history[kind], event{Object: old, Deleted: true})
	s.changed.Broadcast()
}

func (s *store) setFault(fault func(http.ResponseWriter, *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != nil && fault(w, r) {
		return
	}
	time.Sleep(storeAnswerTime)
	kind, name, one := strings.Cut(strings.TrimPrefix(r.URL.Path, "/guavawharf/objects/"), "/")
	query := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	switch {
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case one:
		s.mu.Lock()
		o, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(o)
	case query.Get("watch") != "":
		s.watch(w, r, kind, query.Get("watch"), query.Get("wait_ms"))
	default:
		s.list(w, kind, query.Get("after"))
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	const pageSize = 500
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "current_rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, from, wait string) {
	after, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMillis, _ := strconv.Atoi(wait) // 0 without the field
	deadline := time.Now().Add(time.Duration(waitMillis) * time.Millisecond)
	s.mu.Lock()
	if after > s.revision {
		s.mu.Unlock()
		w.WriteHeader(http.StatusGone)
		return
	}
	var events []event
	for {
		events = []event{}
		for _, e := range s.history[kind] {
			if e.Object.Meta.Revision > after {
				events = append(events, e)
			}
		}
		if len(events) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			break
		}
		s.changed.Wait()
	}
	revision := s.revision
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "current_rev": revision})
}
