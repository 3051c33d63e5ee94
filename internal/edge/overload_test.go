package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/overload"
)

// signalOverload reports the host as overloaded every 50 ms for a while.
func signalOverload(b *testBed, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		notify(b.running.control.overloaded)
		time.Sleep(50 * time.Millisecond)
	}
}

// A slowed-down host delayed the packets of a whole failure domain by up to 2 s; 800 of
// 8,617 requests there were late (huaman-retratos inc-b596).
func TestOverloadedHostReportsNotReadyAndKeepsForwarding(t *testing.T) {
	first, second, _ := startTwoHosts(t)
	flow := second.open()
	signalOverload(second, 500*time.Millisecond)
	second.eventually(func() bool { return !second.isReady() })
	require.Equal(t, "i-2a00000001", second.request(flow), "packets are forwarded until the fabric uses another host")
	require.True(t, first.isReady())
	require.Eventually(t, second.isReady, overload.AsideDuration+testTimeout, 20*time.Millisecond)
}

func TestOverloadedSingleHostStaysReady(t *testing.T) {
	b := startReadyHost(t)
	signalOverload(b, time.Second)
	require.True(t, b.isReady())
	require.True(t, b.logs.contains("overloaded; staying ready because too many other hosts are overloaded"))
}
