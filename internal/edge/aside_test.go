package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/overload"
)

// overloadFor has a host believe that it is overloaded for a while.
func overloadFor(b *bed, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		signal(b.running.control.overloaded)
		time.Sleep(50 * time.Millisecond)
	}
}

// A slowed host held the packets of a whole failure domain for up to 2 s; 800 of 8,617
// requests there came late (huaman-retratos inc-b596).
func TestAnOverloadedHostIsNotReadyAndForwardsOn(t *testing.T) {
	first, second, _ := twoHosts(t)
	flow := second.open()
	overloadFor(second, 500*time.Millisecond)
	second.eventually(func() bool { return !second.isReady() })
	require.Equal(t, "i-2a00000001", second.request(flow), "until the fabric has moved on")
	require.True(t, first.isReady())
	require.Eventually(t, second.isReady, overload.AsideDuration+patience, 20*time.Millisecond)
}

func TestAHostThatKnowsOfNoOtherStays(t *testing.T) {
	b := oneHost(t)
	overloadFor(b, time.Second)
	require.True(t, b.isReady())
	require.True(t, b.logs.contains("overloaded, stays"))
}
