package platform

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// store holds the objects in memory. Each write is assigned the next revision.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]objects.Object
	// changed is closed and replaced by each write and by wakeWatches.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		objects: make(map[string]objects.Object),
		changed: make(chan struct{}),
	}
}

// get returns the object of the key and reports whether it exists.
func (s *store) get(key string) (objects.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	return object, ok
}

// put writes the value if the object's version is the given one; version 0
// creates the object. It returns the written object and true, or the current one
// and false.
func (s *store) put(key string, version uint64, value json.RawMessage) (objects.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key]
	if current.Version != version {
		return current, false
	}
	return s.write(key, value), true
}

// overwrite writes the value without a version check.
func (s *store) overwrite(key string, value json.RawMessage) objects.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(key, value)
}

func (s *store) write(key string, value json.RawMessage) objects.Object {
	s.revision++
	object := objects.Object{
		Key:      key,
		Version:  s.objects[key].Version + 1,
		Revision: s.revision,
		Value:    value,
	}
	s.objects[key] = object
	s.broadcast()
	return object
}

// list returns the objects under the prefix that changed after the revision,
// oldest change first, and a channel that is closed at the next write or wakeWatches.
func (s *store) list(prefix string, after uint64) (objects.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := objects.Page{Revision: s.revision, Objects: []objects.Object{}}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && object.Revision > after {
			page.Objects = append(page.Objects, object)
		}
	}
	sort.Slice(page.Objects, func(i, j int) bool {
		return page.Objects[i].Revision < page.Objects[j].Revision
	})
	return page, s.changed
}

// wakeWatches makes waiting watches check the store and the faults again.
func (s *store) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broadcast()
}

func (s *store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}
