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
	// tooBusy is the share of a window spent on packets at which a host does not keep
	// up; one that keeps up spends a fifth.
	tooBusy = 0.8
	// windowsNeeded must be too busy in a row, so that a pause of the process alone,
	// such as a freeze, does not count.
	windowsNeeded = 2
)

// Meter measures how busy one goroutine is. Its zero value is ready for use; it is not
// safe for concurrent use. Times are counted from the start of the process.
type Meter struct {
	began time.Duration
	busy  time.Duration
	// hot is the number of windows in a row that were too busy.
	hot int
}

// RecordWork notes that the goroutine worked from one time to another, and waited until
// then. It returns true at the end of each window after which the host does not keep up.
func (m *Meter) RecordWork(from, to time.Duration) (overloaded bool) {
	m.busy += to - from
	length := to - m.began
	if length < window {
		return false
	}
	if float64(m.busy) >= tooBusy*float64(length) {
		m.hot++
	} else {
		m.hot = 0
	}
	m.began = to
	m.busy = 0
	return m.hot >= windowsNeeded
}
