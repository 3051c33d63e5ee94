package upstream

import "sync"

// Ledger remembers which non-idempotent requests were run. All upstreams of a
// process share one.
type Ledger struct {
	mu  sync.Mutex
	run map[uint64]struct{}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{run: make(map[uint64]struct{})} }

// Record notes a run and tells whether it is the first.
func (l *Ledger) Record(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, again := l.run[id]; again {
		return false
	}
	l.run[id] = struct{}{}
	return true
}
