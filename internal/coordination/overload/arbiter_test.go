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

// requestRepeatedly sends a request of each numbered host in every window and returns the
// hosts that may step aside.
func requestRepeatedly(arbiter *Arbiter, from, length time.Duration, hosts int, numbers ...byte) map[byte]bool {
	may := make(map[byte]bool)
	for now := from; now <= from+length; now += window {
		for _, number := range numbers {
			if arbiter.RequestStepAside(now, address(number), hosts) {
				may[number] = true
			}
		}
	}
	return may
}

func TestOverloadedHostMayStepAside(t *testing.T) {
	arbiter := NewArbiter()
	require.False(t, arbiter.RequestStepAside(0, address(1), 6), "the other hosts may be overloaded, too")
	require.True(t, arbiter.RequestStepAside(minOverload, address(1), 6))
}

func TestAtMostAThirdOfHostsStepAside(t *testing.T) {
	require.Len(t, requestRepeatedly(NewArbiter(), 0, 2*time.Second, 6, 1, 2), 2)
	require.Len(t, requestRepeatedly(NewArbiter(), 0, 2*time.Second, 2, 1), 1)
	require.Empty(t, requestRepeatedly(NewArbiter(), 0, 2*time.Second, 1, 1), "no other host could take over")
}

// Guards against a cascade: all hosts slow down at once, the first ones step aside, the
// rest gets their load and steps aside as well, and callers lose service that they had.
func TestNoHostStepsAsideWhenAllAreOverloaded(t *testing.T) {
	require.Empty(t, requestRepeatedly(NewArbiter(), 0, 5*time.Second, 6, 1, 2, 3, 4, 5, 6))
}

// Two hosts are aside. Their load overloads the other hosts, which have to stay.
func TestRemainingHostsStayWhenOverloadedLater(t *testing.T) {
	arbiter := NewArbiter()
	require.Len(t, requestRepeatedly(arbiter, 0, time.Second, 6, 1, 2), 2)
	require.Empty(t, requestRepeatedly(arbiter, 2*time.Second, AsideDuration/4, 6, 3, 4, 5, 6))
}

func TestStepAsideExpires(t *testing.T) {
	arbiter := NewArbiter()
	require.Len(t, requestRepeatedly(arbiter, 0, time.Second, 6, 1), 1)
	require.Len(t, requestRepeatedly(arbiter, time.Minute, time.Second, 6, 2), 1)
	require.Len(t, arbiter.aside, 1)
}
