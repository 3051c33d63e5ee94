package reports

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

func TestTargetIsPassedOnOnceWhileItsReportIsRecent(t *testing.T) {
	r := NewRelay()
	require.Equal(t, []catalog.TargetID{1, 2}, r.Accept(0, []catalog.TargetID{1, 2, 1}))
	require.Equal(t, []catalog.TargetID{3}, r.Accept(time.Second, []catalog.TargetID{2, 3}))
	require.Empty(t, r.Accept(retention-1, []catalog.TargetID{1}))
	require.Equal(t, []catalog.TargetID{1}, r.Accept(retention, []catalog.TargetID{1, 3}))
}

// hosts returns n hosts.
func hosts(n int) []netip.AddrPort {
	var all []netip.AddrPort
	for i := range n {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8166))
	}
	return all
}

func TestReportDoesNotReturnToItsSender(t *testing.T) {
	h := hosts(3)
	require.Equal(t, h, Recipients(h[2], h[:2:2], netip.AddrPort{}))
	require.Equal(t, h[1:], Recipients(h[2], h[:2:2], h[0]))
	require.Equal(t, h[:2], Recipients(h[2], h[:2:2], h[2]))
	require.Equal(t, h[:1], Recipients(netip.AddrPort{}, h[:1:1], netip.AddrPort{}))
}

// In a tree of 300 hosts, in which each one reads from one that has at most 24 readers,
// every host gets each report, and no more messages are sent than there are links, twice.
func TestReportReachesEveryHostOfATree(t *testing.T) {
	const readers = 24
	all := hosts(300)
	parent := func(i int) netip.AddrPort {
		if i == 0 {
			return netip.AddrPort{}
		}
		return all[(i-1)/readers]
	}
	children := func(i int) []netip.AddrPort {
		first := min(i*readers+1, len(all))
		return all[first:min(first+readers, len(all)):len(all)]
	}
	index := make(map[netip.AddrPort]int)
	relays := make([]*Relay, len(all))
	for i, host := range all {
		index[host], relays[i] = i, NewRelay()
	}
	type message struct{ from, to netip.AddrPort }
	var queue []message
	reached, sent := make(map[int]bool), 0
	handle := func(i int, from netip.AddrPort) {
		if len(relays[i].Accept(0, []catalog.TargetID{7})) == 0 {
			return
		}
		reached[i] = true
		for _, to := range Recipients(parent(i), children(i), from) {
			queue = append(queue, message{all[i], to})
		}
	}
	handle(250, netip.AddrPort{})
	handle(17, netip.AddrPort{})
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		sent++
		handle(index[next.to], next.from)
	}
	require.Len(t, reached, len(all))
	require.LessOrEqual(t, sent, 2*(len(all)-1))
}
