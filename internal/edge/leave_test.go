package edge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/platform/platformtest"
)

// A host that is short of processor time while it leaves has packets in its socket that
// it has not read when the time to leave is over; here the SYN of a flow.
func TestPacketsThatWaitWhenTheHostLeavesAreForwarded(t *testing.T) {
	b := newTestBed(t)
	target, err := platformtest.NewTarget(b.host.Addr(), "i-2a00000001", packetsPort)
	require.NoError(t, err)
	syns := make(chan netip.AddrPort, 1)
	target.OnSYN = func(client netip.AddrPort) { syns <- client }
	go target.Serve()
	t.Cleanup(target.Stop)
	b.store.Put("servers", target.Name, target.Entry("taller", "a", "ready"))
	b.start()
	b.waitReady()

	stalled := make(chan trafficState)
	b.running.traffic.inspections <- stalled
	b.running.traffic.checker.wake()
	go func() { _, _ = b.client.Open(b.hostAddress, servedAddress, 50*time.Millisecond) }()
	b.leave <- struct{}{}
	time.Sleep(minDrainTime + 2*drainPollInterval)
	require.Empty(t, syns)
	<-stalled
	<-b.stopped
	b.eventually(func() bool { return len(syns) == 1 })
}
