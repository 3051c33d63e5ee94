package store

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/guavawharf/guavawharf/internal/protocol/platformapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// fault is called before a request is executed; run executes it without a response. A
// fault that returns true has sent the response, or closed the connection, itself.
type fault func(w http.ResponseWriter, r *http.Request, run func()) bool

// fakeStore is an in-memory platform. Each request consumes the next injected fault.
type fakeStore struct {
	mu       sync.Mutex
	objects  map[string]objects.Object
	revision uint64
	// writes counts the writes of each value.
	writes   map[string]int
	faults   []fault
	requests []string
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[string]objects.Object), writes: make(map[string]int)}
}

func (s *fakeStore) inject(faults ...fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// requestCount returns the number of requests with the method, or of all if it is empty.
func (s *fakeStore) requestCount(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, m := range s.requests {
		if method == "" || m == method {
			n++
		}
	}
	return n
}

func (s *fakeStore) version(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key].Version
}

// writeCount returns the number of writes of a value.
func (s *fakeStore) writeCount(value string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes[value]
}

func (s *fakeStore) nextFault(method string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, method)
	if len(s.faults) == 0 {
		return nil
	}
	next := s.faults[0]
	s.faults = s.faults[1:]
	return next
}

// ServeHTTP executes the request unless its fault handles it.
func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f := s.nextFault(r.Method); f != nil {
		discard := &discardWriter{header: make(http.Header)}
		if f(w, r, func() { s.run(discard, r, body) }) {
			return
		}
	}
	s.run(w, r, body)
}

func (s *fakeStore) run(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := strings.TrimPrefix(r.URL.Path, platformapi.PathObjects+"/")
	switch {
	case r.Method == http.MethodPut:
		s.put(w, key, r.URL.Query().Get("version"), body)
	case r.URL.Path == platformapi.PathObjects || r.URL.Path == platformapi.PathWatch:
		s.list(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	default:
		s.get(w, key)
	}
}

func (s *fakeStore) get(w http.ResponseWriter, key string) {
	object, ok := s.objects[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(object)
}

func (s *fakeStore) put(w http.ResponseWriter, key, condition string, body []byte) {
	current := s.objects[key]
	if strconv.FormatUint(current.Version, 10) != condition {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(current)
		return
	}
	s.revision++
	s.writes[string(body)]++
	current = objects.Object{Key: key, Version: current.Version + 1, Revision: s.revision, Value: body}
	s.objects[key] = current
	_ = json.NewEncoder(w).Encode(current)
}

func (s *fakeStore) list(w http.ResponseWriter, prefix, after string) {
	since, _ := strconv.ParseUint(after, 10, 64)
	page := objects.Page{Revision: s.revision}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && object.Revision > since {
			page.Objects = append(page.Objects, object)
		}
	}
	slices.SortFunc(page.Objects, func(a, b objects.Object) int { return strings.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(page)
}

// discardWriter discards the response of a request whose client receives none.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}
