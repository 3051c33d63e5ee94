package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store: objects by kind and name, with revisions, conditional
// writes, lists, watches and entries of targets that run out.
type store struct {
	mu        sync.Mutex
	changed   *sync.Cond
	era       uint64
	revision  uint64
	objects   map[string]map[string]*object
	events    []event
	heartbeat time.Duration
	// beats holds when each target last wrote its entry.
	beats map[string]time.Time
	// log is called for each change, with the lock held.
	log func(string)
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

const objectsPath = "/guavawharf/objects/"

// pageItems is the number of objects on a page of a list.
const pageItems = 500

func newStore(heartbeat time.Duration, log func(string)) *store {
	s := &store{era: 1, revision: 100, objects: map[string]map[string]*object{}, heartbeat: heartbeat, beats: map[string]time.Time{}, log: log}
	s.changed = sync.NewCond(&s.mu)
	go s.tick()
	return s
}

// tick lets entries run out and wakes the watches.
func (s *store) tick() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for name, at := range s.beats {
			if time.Since(at) > 3*s.heartbeat {
				delete(s.beats, name)
				s.remove("servers", name)
			}
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}

// put creates or replaces an object and returns it. s.mu is held.
func (s *store) put(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	known := s.objects[kind][name]
	if known != nil && string(known.Spec) == string(spec) {
		return known
	}
	s.revision++
	next := &object{Meta: objectMeta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if known != nil {
		next.Meta.Created = known.Meta.Created
	}
	s.objects[kind][name] = next
	s.events = append(s.events, event{kind: kind, revision: s.revision, Object: *next})
	s.log("store: " + kind + "/" + name + " revision " + strconv.FormatUint(s.revision, 10) + " " + shorten(string(spec)))
	s.changed.Broadcast()
	return next
}

func shorten(text string) string {
	if len(text) > 300 {
		return text[:300] + "..."
	}
	return text
}

// remove deletes an object. s.mu is held.
func (s *store) remove(kind, name string) {
	known := s.objects[kind][name]
	if known == nil {
		return
	}
	s.revision++
	gone := *known
	gone.Meta.Revision = s.revision
	delete(s.objects[kind], name)
	s.events = append(s.events, event{kind: kind, revision: s.revision, Object: gone, Deleted: true})
	s.log("store: " + kind + "/" + name + " removed, revision " + strconv.FormatUint(s.revision, 10))
	s.changed.Broadcast()
}

// write is a write of the operator; the result is when it was acknowledged.
func (s *store) write(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
	return time.Now()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	kind, name, one := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodGet && one:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPut && one:
		s.replace(w, r, kind, name)
	case r.Method == http.MethodDelete && one:
		delete(s.beats, name)
		s.remove(kind, name)
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, code int, body any) {
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	if known := s.objects[kind][name]; known != nil {
		reply(w, http.StatusOK, known)
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	names := []string{}
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	if more {
		names = names[:pageItems]
	}
	items := []*object{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		if from > s.revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		if len(events) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": s.revision})
			return
		}
		s.changed.Wait()
	}
}

// replace handles a PUT, by which targets write their entries. It also creates the object.
func (s *store) replace(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body object
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	known := s.objects[kind][name]
	if body.Meta.Revision != 0 && (known == nil || known.Meta.Revision != body.Meta.Revision) {
		reply(w, http.StatusConflict, known)
		return
	}
	if kind == "servers" {
		s.beats[name] = time.Now()
		if known != nil && sameEntry(known.Spec, body.Spec) {
			reply(w, http.StatusOK, known)
			return
		}
	}
	reply(w, http.StatusOK, s.put(kind, name, body.Spec))
}

// sameEntry reports whether two entries of a target differ at most in their sequence.
func sameEntry(a, b json.RawMessage) bool {
	var first, second map[string]any
	if json.Unmarshal(a, &first) != nil || json.Unmarshal(b, &second) != nil {
		return false
	}
	delete(first, "sequence")
	delete(second, "sequence")
	x, _ := json.Marshal(first)
	y, _ := json.Marshal(second)
	return string(x) == string(y)
}
