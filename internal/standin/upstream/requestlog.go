package upstream

import "sync"

// RequestLog remembers which non-idempotent requests were run. All upstreams of a
// process share one.
type RequestLog struct {
	mu  sync.Mutex
	executed map[uint64]struct{}
}

// NewRequestLog returns an empty ledger.
func NewRequestLog() *RequestLog { return &RequestLog{executed: make(map[uint64]struct{})} }

// Record notes a run and tells whether it is the first.
func (l *RequestLog) Record(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, again := l.executed[id]; again {
		return false
	}
	l.executed[id] = struct{}{}
	return true
}
