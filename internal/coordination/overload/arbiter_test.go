package overload

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func address(number byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, number}), 8166)
}

// requestRepeatedly has hosts ask in each window for a while and returns those that may step
// aside.
func requestRepeatedly(turns *Arbiter, from, length time.Duration, hosts int, numbers ...byte) map[byte]bool {
	may := make(map[byte]bool)
	for now := from; now <= from+length; now += window {
		for _, number := range numbers {
			if turns.RequestStepAside(now, address(number), hosts) {
				may[number] = true
			}
		}
	}
	return may
}

func TestOverloadedHostMayStepAside(t *testing.T) {
	turns := NewArbiter()
	require.False(t, turns.RequestStepAside(0, address(1), 6), "the others may be overloaded, too")
	require.True(t, turns.RequestStepAside(minOverload, address(1), 6))
}

func TestAtMostAThirdOfHostsStepAside(t *testing.T) {
	require.Len(t, requestRepeatedly(NewArbiter(), 0, 2*time.Second, 6, 1, 2), 2)
	require.Len(t, requestRepeatedly(NewArbiter(), 0, 2*time.Second, 2, 1), 1)
	require.Empty(t, requestRepeatedly(NewArbiter(), 0, 2*time.Second, 1, 1), "nobody would take over")
}

// All hosts slow at once: when those that stepped aside first left the rest with more
// to do, all stepped aside, and callers lost what was served before.
func TestNoHostStepsAsideWhenAllAreOverloaded(t *testing.T) {
	require.Empty(t, requestRepeatedly(NewArbiter(), 0, 5*time.Second, 6, 1, 2, 3, 4, 5, 6))
}

// Two are aside; the load that they left overloads the rest, which has to stay.
func TestRemainingHostsStayWhenOverloadedLater(t *testing.T) {
	turns := NewArbiter()
	require.Len(t, requestRepeatedly(turns, 0, time.Second, 6, 1, 2), 2)
	require.Empty(t, requestRepeatedly(turns, 2*time.Second, AsideDuration/4, 6, 3, 4, 5, 6))
}

func TestStepAsideExpires(t *testing.T) {
	turns := NewArbiter()
	require.Len(t, requestRepeatedly(turns, 0, time.Second, 6, 1), 1)
	require.Len(t, requestRepeatedly(turns, time.Minute, time.Second, 6, 2), 1)
	require.Len(t, turns.aside, 1)
}
