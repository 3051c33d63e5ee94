package edge

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startSharingHosts returns two hosts of a domain, the second of which reads from the first,
// that share out slow starts.
func startSharingHosts(t *testing.T, perSecond float64) (first, second *testBed) {
	first = newTestBed(t)
	first.store.LimitSlowStart(perSecond)
	first.configure(2, servedAddress)
	first.sharesSlowStarts = true
	first.target(localTarget, "a")
	first.seeds = append(first.seeds, first.settings().Control)
	first.start()
	first.waitReady()
	second, _ = newPeerBed(first)
	second.sharesSlowStarts = true
	second.start()
	second.waitReady()
	return first, second
}

// knowsHosts reports whether a host knows the hosts of its domain.
func (b *testBed) knowsHosts(count int) bool { return b.running.domainHostCount() == count }

func TestHostsOfADomainLearnOfEachOther(t *testing.T) {
	first, second := startSharingHosts(t, 3)
	require.False(t, first.knowsHosts(2), "not before all could have reported")
	require.Eventually(t, func() bool { return first.knowsHosts(2) && second.knowsHosts(2) }, 30*time.Second, 50*time.Millisecond)
	hosts := *second.running.domainHosts.Load()
	require.True(t, slices.Contains(hosts, first.settings().Control))
	require.True(t, slices.Contains(hosts, second.settings().Control))
	require.Contains(t, second.scrapeMetrics(), "guava_domain_hosts 2")
}

// Without a limit in the configuration hosts tell each other nothing.
func TestHostsAreNotListedWithoutALimit(t *testing.T) {
	first, second := startSharingHosts(t, 0)
	require.Nil(t, second.running.control.peerServer.reportHosts())
	time.Sleep(3 * first.settings().ChangeBound)
	require.Nil(t, second.running.domainHosts.Load())
}

// Guards against a target that starts again under its name, and is never found down, getting
// its usual flows until the next poll (review case 4), at hosts that read from another one too.
func TestRestartOfATargetIsKnownAtOnceWhereSlowStartsAreLimited(t *testing.T) {
	first := newTestBed(t)
	first.store.LimitSlowStart(3)
	first.configure(2, servedAddress)
	first.sharesSlowStarts, first.targetBound = true, 10*time.Second
	started := first.target(localTarget, "a")
	first.start()
	first.waitReady()
	second, _ := newPeerBed(first)
	second.sharesSlowStarts, second.targetBound = true, 10*time.Second
	second.start()
	second.waitReady()
	second.eventually(func() bool { return second.logs.contains("changes are asked of another host") })
	for start := 2; start < 6; start++ {
		started.Start, started.WarmUpMillis = int64(start), 2000
		first.store.PutTarget(started, "taller", "a", false)
		written := time.Now()
		for _, b := range []*testBed{first, second} {
			b.eventually(func() bool { return b.running.startOf(started.Name) == int64(start) })
		}
		require.Less(t, time.Since(written), time.Second, "in the second that the limit is for")
	}
}

// startOf returns the start time of a target in the view in force, in Unix milliseconds.
func (e *Edge) startOf(target string) int64 {
	for _, pool := range e.view.Load().Pools {
		for _, known := range pool.All() {
			if known.Name == target {
				return known.StartMillis
			}
		}
	}
	return 0
}
