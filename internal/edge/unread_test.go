package edge

import (
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failReadsOf returns a fault of the store that fails the reads of one kind.
func failReadsOf(kind string) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		return strings.HasSuffix(r.URL.Path, "/"+kind) && respondUnavailable(w, r)
	}
}

// Guards against resets by a host that has read the removal of a route but not yet that the
// route is back (review case 1): the first host opens a flow, the second gets its packets.
func TestHostBehindDoesNotResetFlowsOfARouteThatIsBack(t *testing.T) {
	first := startReadyHost(t)
	second, proxy := newPeerBed(first)
	second.seeds = nil
	second.start()
	second.waitReady()
	first.configure(3, servedAddress)
	second.eventually(func() bool { return second.logs.contains("config=3") })
	proxy.SetFault(failReadsOf("config"))

	first.configure(5, servedAddress, removedAddress)
	first.eventually(func() bool { return first.logs.contains("config=5") })
	host := first.host
	flow, err := first.client.Open(func() netip.AddrPort { return host }, removedAddress, testTimeout)
	require.NoError(t, err)
	first.request(flow)

	host = second.host
	_, err = flow.Request("request", 600*time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "dropped, not reset")
	proxy.SetFault(nil)
	second.request(flow)
}

// A caller whose route was removed need not wait for a timeout.
func TestOpenFlowOfARemovedRouteIsResetOnceThatIsCertain(t *testing.T) {
	b := startReadyHost(t)
	flow, err := b.client.Open(b.hostAddress, removedAddress, testTimeout)
	require.NoError(t, err)
	b.request(flow)
	b.configure(3, servedAddress)
	b.eventually(func() bool { return b.logs.contains("config=3") })
	began := time.Now()
	_, err = flow.Request("request", testTimeout)
	require.ErrorContains(t, err, "flow reset")
	require.Less(t, time.Since(began), b.settings().ChangeBound)
	require.True(t, b.logs.contains("flow route_removed"))
}
