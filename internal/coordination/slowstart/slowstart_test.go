package slowstart

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// testBound is that of the users' sheets.
var testBound = Bound{Overage: 1.5, Slack: 5}

func testHosts(n int) []netip.AddrPort {
	var hosts []netip.AddrPort
	for i := range n {
		hosts = append(hosts, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8166))
	}
	return hosts
}

func TestEachTargetBelongsToOneHost(t *testing.T) {
	hosts := testHosts(70)
	counts := make(map[netip.AddrPort]int)
	for target := range catalog.TargetID(700) {
		for _, host := range hosts {
			s := New(host, testBound)
			s.SetHosts(hosts)
			if s.MayUse(restartGap, target, 4) {
				counts[host]++
			}
		}
	}
	total := 0
	for host, count := range counts {
		total += count
		require.LessOrEqual(t, count, 30, "%s owns too many", host)
	}
	require.Equal(t, 700, total)
}

func TestHostWithoutAListOwnsNothing(t *testing.T) {
	s := New(testHosts(1)[0], testBound)
	require.False(t, s.MayUse(restartGap, 1, 100))
	s.SetHosts(testHosts(1))
	require.True(t, s.MayUse(restartGap, 1, 100))
	s.SetHosts(nil)
	require.False(t, s.MayUse(restartGap, 1, 100))
}

// A bound without room for a request of each of two owners allows nothing.
func TestSmallBoundIsNotUsed(t *testing.T) {
	require.False(t, Bound{Overage: 1.5, Slack: 1}.Enabled())
	require.False(t, Bound{Slack: 5}.Enabled())
	require.True(t, testBound.Enabled())
}

// play has hosts send as many requests as they may to one target, and returns the times.
func play(shares []*Shares, perSecond float64, length time.Duration, step func(now time.Duration)) (sent []time.Duration) {
	const tick = 5 * time.Millisecond
	for now := restartGap; now < restartGap+length; now += tick {
		step(now - restartGap)
		for _, s := range shares {
			for s.MayUse(now, 1, perSecond) {
				s.RecordUse(1)
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// mostInASecond returns the largest number of times in any sliding second.
func mostInASecond(times []time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last]-times[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Hosts join, leave and are cut off, so that their lists differ: in two parts, each of which
// knows only its own hosts. The bound holds in any sliding second.
func TestTwoListsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := testHosts(rapid.IntRange(3, 300).Draw(t, "hosts"))
		perSecond := rapid.Float64Range(0.2, 60).Draw(t, "per second")
		var shares []*Shares
		for _, host := range hosts {
			shares = append(shares, New(host, testBound))
		}
		cut := rapid.IntRange(0, len(hosts)).Draw(t, "cut")
		changes := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 10).Draw(t, "changes")
		sent := play(shares, perSecond, 3*time.Second, func(now time.Duration) {
			for _, at := range changes {
				if now == time.Duration(at/5*5)*time.Millisecond || now == 0 {
					for i, s := range shares {
						s.SetHosts(hosts)
						if at%2 == 0 && i < cut {
							s.SetHosts(hosts[:cut])
						}
					}
				}
			}
		})
		bound := perSecond*testBound.Overage + testBound.Slack
		require.LessOrEqual(t, float64(mostInASecond(sent)), bound)
	})
}

// With one list the target gets at least 0.7 of what it bears.
func TestShareIsUsed(t *testing.T) {
	for _, perSecond := range []float64{0.5, 3, 20, 60} {
		hosts := testHosts(70)
		var shares []*Shares
		for _, host := range hosts {
			shares = append(shares, New(host, testBound))
		}
		sent := play(shares, perSecond, 10*time.Second, func(now time.Duration) {
			if now == 0 {
				for _, s := range shares {
					s.SetHosts(hosts)
				}
			}
		})
		require.GreaterOrEqual(t, float64(len(sent)), 0.7*perSecond*10)
		require.LessOrEqual(t, float64(mostInASecond(sent)), perSecond*testBound.Overage+testBound.Slack)
	}
}

// A host that has just started does not know what it sent before.
func TestStartedHostWaits(t *testing.T) {
	s := New(testHosts(1)[0], testBound)
	s.SetHosts(testHosts(1))
	require.False(t, s.MayUse(restartGap-1, 1, 100))
	require.True(t, s.MayUse(restartGap, 1, 100))
}
