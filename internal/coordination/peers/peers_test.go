package peers

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func host(number int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.1.%d.%d:8166", number/250, number%250+1))
}

var seeds = []netip.AddrPort{host(1), host(2), host(3)}

func half() float64 { return 0.5 }

// pick returns the host to poll, the zero address for none.
func pick(c *Chooser, now time.Duration, storeAway bool) netip.AddrPort {
	picked, _ := c.Pick(now, storeAway)
	return picked
}

func TestSeedsPollOnlyEarlierSeeds(t *testing.T) {
	require.Equal(t, host(1), pick(NewChooser(host(9), seeds, half), 0, false))
	require.Equal(t, host(1), pick(NewChooser(host(2), seeds, half), 0, false))
	first := NewChooser(host(1), seeds, half)
	_, found := first.Pick(0, false)
	require.False(t, found, "the first seed reads the store")
	require.Equal(t, host(2), pick(first, 0, true), "unless its calls to the store fail")
}

func TestNoSeedsNoPeer(t *testing.T) {
	_, found := NewChooser(host(9), nil, half).Pick(0, true)
	require.False(t, found)
}

func TestBackoffGrowsWithEachFailure(t *testing.T) {
	c := NewChooser(host(9), seeds, half)
	now := time.Duration(0)
	before := time.Duration(0)
	for range 10 {
		c.ReportFailure(now, host(1))
		require.Equal(t, host(2), pick(c, now, false))
		delay := c.backoffs[host(1)].until - now
		require.GreaterOrEqual(t, delay, before)
		require.LessOrEqual(t, delay, backoffMax)
		before = delay
		now += delay
		require.Equal(t, host(1), pick(c, now, false))
	}
	c.ReportSuccess(now, host(1), netip.AddrPort{})
	c.ReportFailure(now, host(1))
	require.Equal(t, backoffMin, c.backoffs[host(1)].until-now, "a success resets the backoff")
}

// A host that was not polled for a while has old data; a poll makes it read the store
// again, so its next answers are recent.
func TestStaleAnswersAreToleratedBeforeBackoff(t *testing.T) {
	c := NewChooser(host(9), seeds, half)
	for range maxStaleAnswers - 1 {
		c.ReportStale(0, host(1))
		require.Equal(t, host(1), pick(c, 0, false))
	}
	c.ReportSuccess(0, host(1), netip.AddrPort{})
	for range maxStaleAnswers {
		require.Equal(t, host(1), pick(c, 0, false))
		c.ReportStale(0, host(1))
	}
	require.Equal(t, host(2), pick(c, 0, false))
}

func TestRedirectHoldsUntilFailureOrExpiry(t *testing.T) {
	c := NewChooser(host(9), seeds, half)
	c.ReportSuccess(0, host(1), host(40))
	require.Equal(t, host(40), pick(c, 0, false))
	c.ReportFailure(0, host(40))
	require.Equal(t, host(1), pick(c, 0, false))
	c.ReportSuccess(0, host(1), host(41))
	require.Equal(t, host(1), pick(c, redirectLifetime, false), "after its lifetime the redirect is dropped in favor of the seeds")
	c.ReportSuccess(0, host(1), host(9))
	require.Equal(t, host(41), pick(c, 0, false), "a redirect to the host itself is ignored")
}

func TestPollersExpire(t *testing.T) {
	p := NewPollers(3 * time.Second)
	require.False(t, p.Serving(0))
	p.RecordPoll(0, host(1))
	require.True(t, p.Serving(3*time.Second))
	require.False(t, p.Serving(3*time.Second+1))
}

// fleet simulates hosts that all start at once. Each polls the host that it picks once a
// second.
type fleet struct {
	choosers []*Chooser
	pollers  map[netip.AddrPort]*Pollers
	dead     map[netip.AddrPort]bool
}

func newFleet(size int) *fleet {
	f := &fleet{pollers: make(map[netip.AddrPort]*Pollers), dead: make(map[netip.AddrPort]bool)}
	for i := 1; i <= size; i++ {
		f.choosers = append(f.choosers, NewChooser(host(i), seeds, half))
		f.pollers[host(i)] = NewPollers(3 * time.Second)
	}
	return f
}

// runSecond simulates one second and returns the number of hosts that read the store.
func (f *fleet) runSecond(now time.Duration) (readers int) {
	for _, c := range f.choosers {
		if f.dead[c.self] {
			continue
		}
		peer, found := c.Pick(now, false)
		switch {
		case !found || f.pollers[c.self].Serving(now):
			readers++
		case f.dead[peer]:
			c.ReportFailure(now, peer)
			readers++
		default:
			c.ReportSuccess(now, peer, f.pollers[peer].RecordPoll(now, c.self))
		}
	}
	return readers
}

// If every host read the store itself, 300 hosts would send it 300 calls a second (two
// per host every two seconds).
func TestFewHostsReadTheStore(t *testing.T) {
	for _, size := range []int{6, 91, 300, 5200} {
		f := newFleet(size)
		readers := 0
		for second := range 180 {
			readers = f.runSecond(time.Duration(second) * time.Second)
			if second < 10 {
				continue
			}
			require.LessOrEqual(t, readers, 2+2*size/maxPollers, "%d hosts, second %d", size, second)
		}
		for address, pollers := range f.pollers {
			require.LessOrEqual(t, pollers.Count(180*time.Second), maxPollers, "%s of %d hosts", address, size)
		}
		t.Logf("%d hosts: %d read the store", size, readers)
	}
}

// If all seeds are down and no redirect is known, each other host reads the store itself;
// none is left without a source.
func TestHostsReadStoreWhenSeedsAreDown(t *testing.T) {
	f := newFleet(50)
	for _, seed := range seeds {
		f.dead[seed] = true
	}
	for second := range 60 {
		require.Equal(t, 47, f.runSecond(time.Duration(second)*time.Second))
	}
}
