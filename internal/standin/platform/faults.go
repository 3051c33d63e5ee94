package platform

import (
	"strings"
	"sync"
	"time"
)

// FaultKind names a fault of the platform.
type FaultKind string

// Fault kinds.
const (
	// FaultDown answers 503 and runs nothing.
	FaultDown FaultKind = "down"
	// FaultSlow waits for Delay and then runs the call, also when the client
	// has given up meanwhile.
	FaultSlow FaultKind = "slow"
	// FaultLostAnswer runs a write and closes the connection without an answer.
	FaultLostAnswer FaultKind = "lost_answer"
	// FaultLostRequest closes the connection and runs nothing.
	FaultLostRequest FaultKind = "lost_request"
)

// Fault is one fault that is switched on.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// DelayMillis belongs to FaultSlow.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Calls is how many calls the fault meets; 0 is until cleared.
	Calls int `json:"calls,omitempty"`
	// Prefix limits the fault to keys, or watched prefixes, that begin with it.
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

func (f Fault) matches(key string, write bool) bool {
	if f.Kind == FaultLostAnswer && !write {
		return false
	}
	if f.WritesOnly && !write {
		return false
	}
	return strings.HasPrefix(key, f.Prefix)
}

// faults holds the faults that are switched on.
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

// consume returns the faults that meet a call and counts the call off them.
func (f *faults) consume(key string, write bool) []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	var met []Fault
	kept := f.list[:0]
	for _, fault := range f.list {
		last := false
		if fault.matches(key, write) {
			met = append(met, fault)
			last = fault.Calls == 1
			fault.Calls = max(fault.Calls-1, 0)
		}
		if !last {
			kept = append(kept, fault)
		}
	}
	f.list = kept
	return met
}

// watchDown tells whether an unlimited FaultDown meets a waiting watch.
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
