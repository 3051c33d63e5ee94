package hostlist

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
)

// fleet is a tree of hosts: the first is the root, the next ones read from it, and the rest
// from those.
type fleet struct {
	hosts  []Host
	lists  []*List
	parent []int
	dead   map[int]bool
	now    time.Duration
}

const (
	readInterval = time.Second
	readerLife   = 3 * time.Second
)

func newFleet(size, fanOut int) *fleet {
	f := &fleet{dead: make(map[int]bool)}
	for i := range size {
		host := Host{
			Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8166),
			Domain:  state.DomainID(rune('a' + i%3)),
		}
		f.hosts = append(f.hosts, host)
		f.lists = append(f.lists, New(host))
		f.lists[i].SetRoot(i == 0)
		f.parent = append(f.parent, (i-1)/fanOut)
	}
	return f
}

// run has each host read from its parent once a second.
func (f *fleet) run(length time.Duration) {
	for end := f.now + length; f.now < end; f.now += readInterval {
		for i, list := range f.lists {
			if f.dead[i] {
				continue
			}
			list.ObserveAsRoot(f.now)
			if i == 0 || f.dead[f.parent[i]] {
				continue
			}
			answer := f.lists[f.parent[i]].HandleReport(f.now, f.now+readerLife, f.hosts[i], list.Report(f.now))
			list.HandleAnswer(f.now, answer)
		}
	}
}

// inDomain returns the addresses of the living hosts in a domain.
func (f *fleet) inDomain(domain state.DomainID) []netip.AddrPort {
	var found []netip.AddrPort
	for i, host := range f.hosts {
		if host.Domain == domain && !f.dead[i] {
			found = append(found, host.Control)
		}
	}
	return found
}

func TestEveryHostLearnsTheHostsOfItsDomain(t *testing.T) {
	f := newFleet(90, 5)
	f.run(settleTime)
	require.Nil(t, f.lists[50].Domain(), "no list before all have reported")
	f.run(10 * time.Second)
	for i, list := range f.lists {
		require.Equal(t, f.inDomain(f.hosts[i].Domain), list.Domain(), "host %d", i)
	}
}

func TestDeadHostIsRemovedLate(t *testing.T) {
	f := newFleet(30, 5)
	f.run(20 * time.Second)
	before := f.lists[20].Domain()
	f.dead[29] = true
	f.run(readerLife + removeAfter/2)
	require.Equal(t, before, f.lists[20].Domain(), "a list that is short for a moment changes nothing")
	f.run(removeAfter)
	require.Equal(t, f.inDomain(f.hosts[20].Domain), f.lists[20].Domain())
}

// The root starts again and knows nobody: it answers with no list until all have told it.
func TestRestartedRootShortensNoList(t *testing.T) {
	f := newFleet(30, 5)
	f.run(20 * time.Second)
	before := f.lists[20].Domain()
	f.lists[0] = New(f.hosts[0])
	f.lists[0].SetRoot(true)
	offset := f.now
	for range 20 {
		for i := 1; i < len(f.lists); i++ {
			answer := f.lists[f.parent[i]].HandleReport(f.clock(i, offset), f.clock(i, offset)+readerLife, f.hosts[i], f.lists[i].Report(f.now))
			f.lists[i].HandleAnswer(f.now, answer)
		}
		f.now += readInterval
		require.Equal(t, before, f.lists[20].Domain())
	}
}

// clock returns the time at the parent of a host: the root counts from its restart.
func (f *fleet) clock(i int, restart time.Duration) time.Duration {
	if f.parent[i] == 0 {
		return f.now - restart
	}
	return f.now
}

// A host that is cut off keeps its list, and one that starts behind the cut gets none.
func TestHostsBehindACutKeepTheirList(t *testing.T) {
	f := newFleet(30, 5)
	f.run(20 * time.Second)
	before := f.lists[7].Domain()
	f.dead[0] = true
	f.run(30 * time.Second)
	require.Equal(t, before, f.lists[7].Domain())
	f.hosts[7].Control = netip.MustParseAddrPort("10.9.9.9:8166")
	f.lists[7] = New(f.hosts[7])
	f.run(5 * time.Second)
	require.Nil(t, f.lists[7].Domain(), "the host that it reads from has a list without it")
}

// A host that is no root never makes a list of its own: it would hold a part of the hosts.
func TestHostThatReadsFromNobodyHasNoList(t *testing.T) {
	list := New(newFleet(1, 1).hosts[0])
	list.ObserveAsRoot(time.Hour)
	require.Nil(t, list.Domain())
	answer := list.HandleReport(time.Hour, 2*time.Hour, newFleet(2, 1).hosts[1], Report{Digest: 1})
	require.False(t, answer.Settled)
}

// Unchanged lists are not sent again.
func TestUnchangedListsAreNotSent(t *testing.T) {
	f := newFleet(30, 5)
	f.run(20 * time.Second)
	report := f.lists[1].Report(f.now)
	require.Nil(t, report.Hosts)
	answer := f.lists[0].HandleReport(f.now, f.now+readerLife, f.hosts[1], report)
	require.True(t, answer.Settled)
	require.Nil(t, answer.Hosts)
}
