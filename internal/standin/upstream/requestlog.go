package upstream

import "sync"

// RequestLog records which non-idempotent requests were started, so that a second
// run is detected. All upstreams of a process share one.
type RequestLog struct {
	mu       sync.Mutex
	executed map[uint64]struct{}
}

// NewRequestLog returns an empty log.
func NewRequestLog() *RequestLog { return &RequestLog{executed: make(map[uint64]struct{})} }

// Record adds the request and reports whether it was not recorded before.
func (l *RequestLog) Record(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, again := l.executed[id]; again {
		return false
	}
	l.executed[id] = struct{}{}
	return true
}
