// Package overload detects that a host has too little processor time for its packets and
// decides which overloaded hosts may step aside, that is, report not ready for a while so
// that the others get their packets. It guards against this fault: a host that runs
// several times slower than the others, or shares its processor with another process,
// gets its full share of the packets and delays them by hundreds of milliseconds while
// other hosts have spare capacity.
package overload

import "time"

const (
	// window is the time over which processor use is measured.
	window = 250 * time.Millisecond
	// busyThreshold is the fraction of a window spent on packets from which a host does not
	// keep up. A host that keeps up spends a fifth.
	busyThreshold = 0.8
	// minBusyWindows is the number of consecutive busy windows that make an overload, so
	// that a single pause of the process, such as a freeze, does not count.
	minBusyWindows = 2
)

// Meter measures the fraction of time for which one goroutine works. Its zero value is
// ready for use. It is not safe for concurrent use. Times are counted from the start of
// the process.
type Meter struct {
	windowStart time.Duration
	busy        time.Duration
	// busyWindows is the number of consecutive windows at or above busyThreshold.
	busyWindows int
}

// RecordWork records that the goroutine was idle until from and worked from then until
// to. It returns true at the end of each window after which the host is overloaded.
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
