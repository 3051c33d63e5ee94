package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// host plays a host whose packets arrive at equal times, each taking some time, and
// are queued while it works.
type host struct {
	meter   Meter
	every   time.Duration
	takes   time.Duration
	now     time.Duration
	arrived time.Duration
	// overloaded is when the meter said so first, 0 for never.
	overloaded time.Duration
}

// run plays some time and returns the longest that a packet waited.
func (h *host) run(length time.Duration) (longest time.Duration) {
	for end := h.now + length; h.now < end; {
		h.now = max(h.now, h.arrived)
		longest = max(longest, h.now-h.arrived)
		from := h.now
		h.now += h.takes
		h.arrived += h.every
		if h.meter.RecordWork(from, h.now) && h.overloaded == 0 {
			h.overloaded = h.now
		}
	}
	return longest
}

// A host with 1,000 packets a second that each take 180 us keeps up; slowed 5.5 times
// it takes all of its time, and notices before a packet has waited for long.
func TestASlowedHostIsOverloaded(t *testing.T) {
	h := &host{every: time.Millisecond, takes: 180 * time.Microsecond}
	require.Less(t, h.run(10*time.Second), h.every)
	require.Zero(t, h.overloaded)
	h.takes = h.takes * 11 / 2
	longest := h.run(time.Second)
	require.NotZero(t, h.overloaded)
	require.Less(t, h.overloaded, 10*time.Second+3*window)
	require.Less(t, longest, 200*time.Millisecond)
}

// A freeze, or one long piece of work, is over when it is seen.
func TestOneLongPauseIsNoOverload(t *testing.T) {
	h := &host{every: time.Millisecond, takes: 180 * time.Microsecond}
	h.run(time.Second)
	h.takes = 3 * time.Second
	h.run(time.Second)
	h.takes = 180 * time.Microsecond
	h.arrived = h.now
	h.run(10 * time.Second)
	require.Zero(t, h.overloaded)
}

// Three times the usual traffic is no reason: a host that keeps up with it stays.
func TestABurstThatIsKeptUpWithIsNoOverload(t *testing.T) {
	h := &host{every: 300 * time.Microsecond, takes: 180 * time.Microsecond}
	h.run(10 * time.Second)
	require.Zero(t, h.overloaded)
}
