package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// host simulates a host with a queue. Packets arrive at a fixed interval and take
// serviceTime each.
type host struct {
	meter       Meter
	interval    time.Duration
	serviceTime time.Duration
	now         time.Duration
	arrival     time.Duration
	// overloadedAt is when the meter first reported an overload, 0 for never.
	overloadedAt time.Duration
}

// run simulates a length of time and returns the longest wait of a packet.
func (h *host) run(length time.Duration) (longest time.Duration) {
	for end := h.now + length; h.now < end; {
		h.now = max(h.now, h.arrival)
		longest = max(longest, h.now-h.arrival)
		from := h.now
		h.now += h.serviceTime
		h.arrival += h.interval
		if h.meter.RecordWork(from, h.now) && h.overloadedAt == 0 {
			h.overloadedAt = h.now
		}
	}
	return longest
}

// A host that gets 1,000 packets a second, each taking 180 us, keeps up. Slowed down 5.5
// times it is nearly always busy, and detects the overload before a packet has waited for long.
func TestSlowedHostIsOverloaded(t *testing.T) {
	h := &host{interval: time.Millisecond, serviceTime: 180 * time.Microsecond}
	require.Less(t, h.run(10*time.Second), h.interval)
	require.Zero(t, h.overloadedAt)
	h.serviceTime = h.serviceTime * 11 / 2
	longest := h.run(time.Second)
	require.NotZero(t, h.overloadedAt)
	require.Less(t, h.overloadedAt, 10*time.Second+3*window)
	require.Less(t, longest, 200*time.Millisecond)
}

// A freeze, or one long piece of work, has ended by the time it is detected.
func TestSinglePauseIsNotOverload(t *testing.T) {
	h := &host{interval: time.Millisecond, serviceTime: 180 * time.Microsecond}
	h.run(time.Second)
	h.serviceTime = 3 * time.Second
	h.run(time.Second)
	h.serviceTime = 180 * time.Microsecond
	h.arrival = h.now
	h.run(10 * time.Second)
	require.Zero(t, h.overloadedAt)
}

// Three times the usual traffic is not an overload as long as the host keeps up.
func TestBurstWithinCapacityIsNotOverload(t *testing.T) {
	h := &host{interval: 300 * time.Microsecond, serviceTime: 180 * time.Microsecond}
	h.run(10 * time.Second)
	require.Zero(t, h.overloadedAt)
}
