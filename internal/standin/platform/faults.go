package platform

import (
	"strings"
	"sync"
	"time"
)

// FaultKind is a kind of injected fault.
type FaultKind string

// Fault kinds.
const (
	// FaultDown answers 503 without running the call.
	FaultDown FaultKind = "down"
	// FaultSlow runs the call after Delay, even if the client has cancelled it
	// meanwhile.
	FaultSlow FaultKind = "slow"
	// FaultLostAnswer runs a write and closes the connection without an answer.
	// Reads are not affected.
	FaultLostAnswer FaultKind = "lost_answer"
	// FaultLostRequest closes the connection without running the call.
	FaultLostRequest FaultKind = "lost_request"
)

// Fault is one active fault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// DelayMillis is the delay of FaultSlow in milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Calls is the number of calls that the fault applies to; 0 is no limit.
	Calls int `json:"calls,omitempty"`
	// Prefix limits the fault to keys, or watched prefixes, that start with it.
	Prefix string `json:"prefix,omitempty"`
	// WritesOnly limits the fault to writes.
	WritesOnly bool `json:"writes_only,omitempty"`
}

// Delay returns the delay of FaultSlow.
func (f Fault) Delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

func (f Fault) valid() bool {
	switch f.Kind {
	case FaultDown, FaultSlow, FaultLostAnswer, FaultLostRequest:
		return f.DelayMillis >= 0 && f.Calls >= 0
	}
	return false
}

// matches reports whether the fault applies to a call on the key.
func (f Fault) matches(key string, write bool) bool {
	if f.Kind == FaultLostAnswer && !write {
		return false
	}
	if f.WritesOnly && !write {
		return false
	}
	return strings.HasPrefix(key, f.Prefix)
}

// faults is the list of active faults.
type faults struct {
	mu   sync.Mutex
	list []Fault
}

func (f *faults) add(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, fault)
}

func (f *faults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = nil
}

func (f *faults) all() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Fault{}, f.list...)
}

// consume returns the faults that apply to a call, decrements their remaining calls
// and removes those that have none left.
func (f *faults) consume(key string, write bool) []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	var applied []Fault
	remaining := f.list[:0]
	for _, fault := range f.list {
		last := false
		if fault.matches(key, write) {
			applied = append(applied, fault)
			last = fault.Calls == 1
			fault.Calls = max(fault.Calls-1, 0)
		}
		if !last {
			remaining = append(remaining, fault)
		}
	}
	f.list = remaining
	return applied
}

// watchDown reports whether a FaultDown without a limit of calls applies to a
// waiting watch.
func (f *faults) watchDown(prefix string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.list {
		if fault.Kind == FaultDown && fault.Calls == 0 && fault.matches(prefix, false) {
			return true
		}
	}
	return false
}
