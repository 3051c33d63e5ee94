// Package overload decides when a host has too little processor time for its packets
// and which of several may step aside. The load it answers: a host that runs several
// times slower than the others, or shares its processor with something else, takes its
// full part of the packets and holds them for hundreds of milliseconds, while other
// hosts have room.
package overload

import "time"

const (
	// window is the time over which the share of work is taken.
	window = 250 * time.Millisecond
	// busyThreshold is the share of a window spent on packets at which a host does not keep
	// up; one that keeps up spends a fifth.
	busyThreshold = 0.8
	// minBusyWindows must be too busy in a row, so that a pause of the process alone,
	// such as a freeze, does not count.
	minBusyWindows = 2
)

// Meter measures how busy one goroutine is. Its zero value is ready for use; it is not
// safe for concurrent use. Times are counted from the start of the process.
type Meter struct {
	windowStart time.Duration
	busy        time.Duration
	// busyWindows is the number of windows in a row that were too busy.
	busyWindows int
}

// RecordWork notes that the goroutine worked from one time to another, and waited until
// then. It returns true at the end of each window after which the host does not keep up.
func (m *Meter) RecordWork(from, to time.Duration) (overloaded bool) {
	m.busy += to - from
	length := to - m.windowStart
	if length < window {
		return false
	}
	if float64(m.busy) >= busyThreshold*float64(length) {
		m.busyWindows++
	} else {
		m.busyWindows = 0
	}
	m.windowStart = to
	m.busy = 0
	return m.busyWindows >= minBusyWindows
}
