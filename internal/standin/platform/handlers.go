package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

const (
	// maxWait is the longest wait of one long poll.
	maxWait = time.Minute
	// retryAfterSeconds is the Retry-After value of a 429 reply.
	retryAfterSeconds = "1"
)

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if !s.admitRead(w, key) {
		return
	}
	object, ok := s.store.get(key)
	if !ok {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	s.writeJSON(w, http.StatusOK, object)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	if !s.admitRead(w, prefix) {
		return
	}
	page, _ := s.store.list(prefix, 0)
	s.writeJSON(w, http.StatusOK, page)
}

func (s *Server) watchObjects(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	seconds, errWait := strconv.ParseFloat(query.Get("wait"), 64)
	if errAfter != nil || errWait != nil {
		http.Error(w, "after and wait must be numbers", http.StatusBadRequest)
		return
	}
	s.counters.watches.Add(1)
	if !s.admitRead(w, prefix) {
		return
	}
	wait := min(time.Duration(seconds*float64(time.Second)), maxWait)
	s.longPoll(w, r, prefix, after, wait)
}

// longPoll answers with the changed objects under the prefix, or with an empty page
// once the wait is over. It answers 503 if the platform goes down meanwhile.
func (s *Server) longPoll(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, changed := s.store.list(prefix, after)
		if s.faults.watchDown(prefix) {
			s.counters.faulted.Add(1)
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if len(page.Objects) > 0 {
			s.writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			s.writeJSON(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil || key == "" {
		http.Error(w, "key and version are required", http.StatusBadRequest)
		return
	}
	value, status := readValue(r.Body)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	s.counters.writes.Add(1)
	applied := s.faults.consume(key, true)
	if !s.admit(w, s.writes, applied) {
		return
	}
	object, ok := s.store.put(key, version, value)
	if hasFault(applied, FaultLostAnswer) {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		s.counters.conflicts.Add(1)
		s.writeJSON(w, http.StatusConflict, object)
		return
	}
	s.counters.bytesIn.Add(int64(len(value)))
	s.writeJSON(w, http.StatusOK, object)
}

func readValue(body io.Reader) (json.RawMessage, int) {
	value, err := io.ReadAll(io.LimitReader(body, objects.MaxValueSize+1))
	switch {
	case err != nil:
		return nil, http.StatusBadRequest
	case len(value) > objects.MaxValueSize:
		return nil, http.StatusRequestEntityTooLarge
	case !json.Valid(value):
		return nil, http.StatusBadRequest
	}
	return value, http.StatusOK
}

func (s *Server) admitRead(w http.ResponseWriter, key string) bool {
	s.counters.reads.Add(1)
	return s.admit(w, s.reads, s.faults.consume(key, false))
}

// admit applies the faults that act before a call runs, then the rate limit. It
// reports whether the call may run; if not, it has sent the reply
// or, by a panic, aborted the connection.
func (s *Server) admit(w http.ResponseWriter, limiter *rate.Limiter, applied []Fault) bool {
	for _, fault := range applied {
		s.counters.faulted.Add(1)
		switch fault.Kind {
		case FaultDown:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return false
		case FaultLostRequest:
			panic(http.ErrAbortHandler)
		case FaultSlow:
			time.Sleep(fault.Delay())
		}
	}
	if limiter.Allow() {
		return true
	}
	s.counters.rateLimited.Add(1)
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, "rate limited", http.StatusTooManyRequests)
	return false
}

func hasFault(faults []Fault, kind FaultKind) bool {
	for _, fault := range faults {
		if fault.Kind == kind {
			return true
		}
	}
	return false
}

// writeJSON writes the body as JSON. It ignores write errors, which mean that the
// client has disconnected.
func (s *Server) writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	n, _ := w.Write(encoded)
	s.counters.bytesOut.Add(int64(n))
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&fault); err != nil || !fault.valid() {
		http.Error(w, "invalid fault", http.StatusBadRequest)
		return
	}
	s.SetFault(fault)
	s.getFaults(w, r)
}

func (s *Server) deleteFaults(w http.ResponseWriter, r *http.Request) {
	s.ClearFaults()
	s.getFaults(w, r)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, http.StatusOK, s.faults.all())
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, http.StatusOK, s.Counters())
}
