package edge

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/platform"
	"github.com/guavawharf/guavawharf/platform/platformtest"
)

// beside returns a bed whose host reads the same objects through a way of its own
// that can fail, and asks the first bed's host.
func beside(first *bed) (*bed, *platformtest.Access) {
	group := byte(beds.Add(1))
	b := &bed{
		t: first.t, store: first.store, client: first.client, logs: new(logBuffer),
		host:    first.network.Address(group, 1, packetsPort),
		ready:   first.network.Address(group, 1, readyPort),
		metrics: first.network.Address(group, 1, metricsPort),
		seeds:   []netip.AddrPort{first.settings().Control},
	}
	access := platformtest.NewAccess(first.store)
	b.server = httptest.NewServer(access)
	b.t.Cleanup(b.server.Close)
	return b, access
}

// twoHosts returns two beds with a host each, the second of which asks the first, and
// the second's way to the store.
func twoHosts(t *testing.T) (first, second *bed, access *platformtest.Access) {
	first = oneHost(t)
	second, access = beside(first)
	second.start()
	second.waitReady()
	second.eventually(func() bool { return second.logs.contains("changes are asked of another host") })
	return first, second, access
}

func turnAway(w http.ResponseWriter, _ *http.Request) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// The load that this answers: each host's own polls, which grow with the hosts.
func TestASecondHostAsksTheFirstInsteadOfTheStore(t *testing.T) {
	first, second, access := twoHosts(t)
	before := access.Calls()
	first.configure(3, feed)
	first.target("i-2a00000002", "a")
	second.eventually(func() bool { return second.logs.contains("config=3") && second.logs.contains("i-2a00000002") })
	time.Sleep(second.settings().ChangeBound)
	require.LessOrEqual(t, access.Calls()-before, 2, "at most one that the first host's pause made")
	require.Contains(t, second.counters(), `guava_change_seconds_count{kind="config"}`)
}

// A configuration of 1,735 routes, told to every host that asked, filled the link of a
// small host; its packets and checks stood in the queue, and it took living targets
// for dead (huaman-retratos-grown trouble-1).
func TestALargeConfigurationIsNotToldToOtherHosts(t *testing.T) {
	first, second, access := twoHosts(t)
	addresses := []netip.AddrPort{feed}
	for port := range uint16(maxListSize / 50) {
		addresses = append(addresses, netip.AddrPortFrom(removed.Addr(), 10_000+port))
	}
	before := access.Calls()
	first.configure(3, addresses...)
	second.eventually(func() bool { return second.logs.contains("config=3") })
	require.Greater(t, access.Calls(), before, "read from the store")
	reply := first.running.control.peerServer.Read(peerapi.Query{Reads: []peerapi.Read{{Kind: platform.KindConfig, List: true}}})
	require.True(t, reply.Answers[0].TooLarge)
	require.Empty(t, reply.Answers[0].Page.Objects)
}

func TestAHostThatTheStoreTurnsAwayIsKeptCurrentByAnother(t *testing.T) {
	first, second, access := twoHosts(t)
	access.SetFault(turnAway)
	first.configure(3, feed)
	began := time.Now()
	second.eventually(func() bool { return second.logs.contains("config=3") })
	require.Less(t, time.Since(began), second.settings().ChangeBound)
	access.SetFault(nil)
}

func TestAHostStartsFromAnotherWhileTheStoreIsAway(t *testing.T) {
	first := oneHost(t)
	flow := first.open()
	name := first.request(flow)
	second, access := beside(first)
	access.SetFault(turnAway)
	second.start()
	second.waitReady()
	require.Equal(t, name, second.request(second.open()))
	access.SetFault(nil)
	second.eventually(func() bool { return second.logs.contains("store regained") })
}

// The first host ends; the second reads the store itself and loses no change.
func TestAHostWhoseOtherHostEndsReadsTheStore(t *testing.T) {
	first, second, _ := twoHosts(t)
	first.stop()
	first.configure(3, feed)
	began := time.Now()
	second.eventually(func() bool { return second.logs.contains("config=3") })
	require.Less(t, time.Since(began), second.settings().ChangeBound)
}
