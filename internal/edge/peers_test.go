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

// newPeerBed returns a test bed whose host has the first bed's host as its seed and reads
// the same store through a proxy of its own, which can be made to fail.
func newPeerBed(first *testBed) (*testBed, *platformtest.StoreProxy) {
	group := byte(bedCount.Add(1))
	b := &testBed{
		t: first.t, store: first.store, client: first.client, logs: new(logBuffer),
		host:    first.network.Address(group, 1, packetsPort),
		ready:   first.network.Address(group, 1, readyPort),
		metrics: first.network.Address(group, 1, metricsPort),
		seeds:   []netip.AddrPort{first.settings().Control},
	}
	proxy := platformtest.NewStoreProxy(first.store)
	b.server = httptest.NewServer(proxy)
	b.t.Cleanup(b.server.Close)
	return b, proxy
}

// startTwoHosts returns two test beds with a host each, the second of which reads from the
// first, and the second host's proxy of the store.
func startTwoHosts(t *testing.T) (first, second *testBed, proxy *platformtest.StoreProxy) {
	first = startReadyHost(t)
	second, proxy = newPeerBed(first)
	second.start()
	second.waitReady()
	second.eventually(func() bool { return second.logs.contains("changes are asked of another host") })
	return first, second, proxy
}

func respondUnavailable(w http.ResponseWriter, _ *http.Request) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// Reading from another host avoids a load on the store that grows with the number of
// hosts: each host's own polls.
func TestSecondHostReadsFromFirstInsteadOfStore(t *testing.T) {
	first, second, proxy := startTwoHosts(t)
	before := proxy.Calls()
	first.configure(3, servedAddress)
	first.target("i-2a00000002", "a")
	second.eventually(func() bool { return second.logs.contains("config=3") && second.logs.contains("i-2a00000002") })
	time.Sleep(second.settings().ChangeBound)
	require.LessOrEqual(t, proxy.Calls()-before, 2, "at most one poll caused by a pause of the first host")
	require.Contains(t, second.scrapeMetrics(), `guava_change_seconds_count{kind="config"}`)
}

// A configuration of 1,735 routes, sent to every host that requested it, filled the link
// of a small host. Its packets and checks were queued, and it took running targets for down
// (huaman-retratos-grown trouble-1).
func TestLargeConfigurationIsReadFromStoreNotFromPeer(t *testing.T) {
	first, second, proxy := startTwoHosts(t)
	addresses := []netip.AddrPort{servedAddress}
	for port := range uint16(maxListSize / 50) {
		addresses = append(addresses, netip.AddrPortFrom(removedAddress.Addr(), 10_000+port))
	}
	before := proxy.Calls()
	first.configure(3, addresses...)
	second.eventually(func() bool { return second.logs.contains("config=3") })
	require.Greater(t, proxy.Calls(), before, "read from the store")
	reply := first.running.control.peerServer.Read(peerapi.Query{Reads: []peerapi.Read{{Kind: platform.KindConfig, List: true}}})
	require.True(t, reply.Answers[0].TooLarge)
	require.Empty(t, reply.Answers[0].Page.Objects)
}

func TestHostRejectedByStoreStaysCurrentThroughPeer(t *testing.T) {
	first, second, proxy := startTwoHosts(t)
	proxy.SetFault(respondUnavailable)
	first.configure(3, servedAddress)
	began := time.Now()
	second.eventually(func() bool { return second.logs.contains("config=3") })
	require.Less(t, time.Since(began), second.settings().ChangeBound)
	proxy.SetFault(nil)
}

func TestHostStartsFromPeerDuringStoreOutage(t *testing.T) {
	first := startReadyHost(t)
	flow := first.open()
	name := first.request(flow)
	second, proxy := newPeerBed(first)
	proxy.SetFault(respondUnavailable)
	second.start()
	second.waitReady()
	require.Equal(t, name, second.request(second.open()))
	proxy.SetFault(nil)
	second.eventually(func() bool { return second.logs.contains("store regained") })
}

// The first host stops; the second reads from the store itself and misses no change.
func TestHostReadsStoreAfterItsPeerStops(t *testing.T) {
	first, second, _ := startTwoHosts(t)
	first.stop()
	first.configure(3, servedAddress)
	began := time.Now()
	second.eventually(func() bool { return second.logs.contains("config=3") })
	require.Less(t, time.Since(began), second.settings().ChangeBound)
}

// A target ends. The first host notices by a SYN that stays unanswered; the second one, which
// only has idle flows there, learns of it from the first.
func TestDownTargetIsReportedToOtherHosts(t *testing.T) {
	first, second, _ := startTwoHosts(t)
	ended := first.target("i-2a00000002", "a")
	// Both hosts learn their usual load, without which a silent target may be a busy one.
	for began := time.Now(); time.Since(began) < 7*time.Second; time.Sleep(100 * time.Millisecond) {
		first.request(first.open())
		second.request(second.open())
	}
	ended.Stop()
	first.eventually(func() bool {
		first.request(first.open())
		return first.logs.contains("target does not answer")
	})
	second.eventually(func() bool { return second.logs.contains("target does not answer") })
	require.Contains(t, second.scrapeMetrics(), "guava_target_reports_total 1")
}
