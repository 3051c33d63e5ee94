package edge

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/platform/platformtest"
)

// testDrainBound is the bound for drains of failure domains in these tests.
const testDrainBound = 2 * time.Second

// Targets of these tests, one in each of two failure domains. The hosts are in the first.
const (
	localTarget  = "i-2a00000001"
	remoteTarget = "i-2a00000002"
)

// newDrainBed returns a test bed with a target in each failure domain. Its host is not
// started.
func newDrainBed(t *testing.T) *testBed {
	b := newTestBed(t)
	b.drainBound = testDrainBound
	b.target(localTarget, "a")
	b.target(remoteTarget, "b")
	return b
}

// requireDrained checks that from the bound after the drain of the first domain on, no new
// flow goes there. Without a drain at least one of ten flows does.
func (b *testBed) requireDrained(drainedAt time.Time) {
	time.Sleep(time.Until(drainedAt.Add(testDrainBound / 2)))
	for range 20 {
		require.Equal(b.t, remoteTarget, b.request(b.open()))
	}
}

// requireReturned checks that new flows go to the first domain again within the bound.
func (b *testBed) requireReturned(returnedAt time.Time) {
	b.eventually(func() bool { return b.request(b.open()) == localTarget })
	require.Less(b.t, time.Since(returnedAt), testDrainBound)
}

func TestDrainedFailureDomainGetsNoNewFlow(t *testing.T) {
	b := newDrainBed(t)
	b.start()
	b.waitReady()
	flow := b.open()
	require.Equal(t, localTarget, b.request(flow))
	b.store.DrainDomain("a")
	b.requireDrained(time.Now())
	require.Equal(t, localTarget, b.request(flow), "an open flow goes on")
	require.Contains(t, b.scrapeMetrics(), "guava_drained_domains 1")
	b.store.RemoveDrain("a")
	b.store.DrainDomain("a")
	b.requireDrained(time.Now())
	b.store.RemoveDrain("a")
	b.requireReturned(time.Now())
}

func TestDrainIsInForceFromTheFirstFlowOfAHost(t *testing.T) {
	b := newDrainBed(t)
	b.store.DrainDomain("a")
	b.start()
	b.waitReady()
	for range 10 {
		require.Equal(t, remoteTarget, b.request(b.open()))
	}
}

func TestFlowIsRefusedAtOnceIfAllDomainsAreDrained(t *testing.T) {
	b := newDrainBed(t)
	b.start()
	b.waitReady()
	b.store.DrainDomain("a")
	b.store.DrainDomain("b")
	b.eventually(func() bool {
		began := time.Now()
		_, err := b.client.Open(b.hostAddress, servedAddress, testTimeout)
		return err == platformtest.ErrReset && time.Since(began) < 200*time.Millisecond
	})
	require.Contains(t, b.scrapeMetrics(), `guava_verdicts_total{reason="domain_drained"}`)
	require.True(t, b.logs.contains("domain_drained"))
}

// startTwoDrainHosts returns two hosts that read drains, the second of which reads from the
// first, and the second host's proxy of the store.
func startTwoDrainHosts(t *testing.T) (first, second *testBed, proxy *platformtest.StoreProxy) {
	first = newDrainBed(t)
	first.start()
	first.waitReady()
	second, proxy = newPeerBed(first)
	second.drainBound = testDrainBound
	second.start()
	second.waitReady()
	second.eventually(func() bool { return second.logs.contains("changes are asked of another host") })
	return first, second, proxy
}

func TestHostThatTheStoreRejectsLearnsOfADrain(t *testing.T) {
	first, second, proxy := startTwoDrainHosts(t)
	proxy.SetFault(respondUnavailable)
	first.store.DrainDomain("a")
	second.requireDrained(time.Now())
	require.Contains(t, second.scrapeMetrics(), "guava_change_notices_total ")
	proxy.SetFault(nil)
}

// The host that the second one reads from stops: no notice comes, the store is asked.
func TestDrainIsInForceWithoutANotice(t *testing.T) {
	first, second, _ := startTwoDrainHosts(t)
	first.stop()
	first.store.DrainDomain("a")
	second.requireDrained(time.Now())
}

func TestDrainStaysInForceWhenTheStoreIsRestored(t *testing.T) {
	b := newDrainBed(t)
	backup := b.store.Backup()
	b.start()
	b.waitReady()
	b.store.DrainDomain("a")
	b.requireDrained(time.Now())
	b.store.Restore(backup)
	b.eventually(func() bool {
		return b.logs.contains(`store restored from a backup; keeping what is newer here" kind=evacuations`)
	})
	for began := time.Now(); time.Since(began) < testDrainBound; time.Sleep(20 * time.Millisecond) {
		require.Equal(t, remoteTarget, b.request(b.open()))
	}
}

// A deployment without the bound makes no call for drains and decides as if there were none.
func TestDrainsAreNotReadWithoutABound(t *testing.T) {
	b := newDrainBed(t)
	b.drainBound = 0
	var asked atomic.Int64
	b.store.SetFault(func(_ http.ResponseWriter, r *http.Request) bool {
		if strings.Contains(r.URL.Path, "evacuations") {
			asked.Add(1)
		}
		return false
	})
	b.store.DrainDomain("a")
	b.start()
	b.waitReady()
	time.Sleep(b.settings().DrainBound)
	require.Equal(t, localTarget, b.request(b.open()))
	require.Zero(t, asked.Load())
}
