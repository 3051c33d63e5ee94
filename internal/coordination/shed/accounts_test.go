package shed

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// testClient returns one of many client addresses.
func testClient(number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)})
}

func TestClientWithTooManyFlowsMakesWay(t *testing.T) {
	var a accounts
	for number := range 10 {
		for range 5 {
			a.record(testClient(number))
		}
	}
	require.InDelta(t, 1, a.share(testClient(1)), 0, "all have had the same")
	require.InDelta(t, 1, a.share(testClient(99)), 0, "one that is not known")
	for range 95 {
		a.record(testClient(0))
	}
	require.Less(t, a.share(testClient(0)), 0.4)
	require.InDelta(t, 1, a.share(testClient(1)), 0)
	for range 12 {
		a.decay()
	}
	require.Empty(t, a.admitted, "a client is forgotten after some seconds")
}

func TestAccountsAreBounded(t *testing.T) {
	var a accounts
	for number := range 2 * maxAccounts {
		a.record(testClient(number))
	}
	require.LessOrEqual(t, len(a.admitted), maxAccounts)
}

func TestFloodingClientIsRefusedBelowTheLimit(t *testing.T) {
	f := newRejectionFixture()
	for number := range 50 {
		require.True(t, f.limiter.Admit(unimportant, testClient(number%10)))
	}
	for range 100 {
		require.True(t, f.limiter.Admit(unimportant, testClient(99)))
	}
	f.limiter.limiting = true
	f.limiter.limit = 10
	f.limiter.AddNewFlow(6)
	require.False(t, f.limiter.Admit(unimportant, testClient(99)))
	require.True(t, f.limiter.Admit(unimportant, testClient(1)))
}
