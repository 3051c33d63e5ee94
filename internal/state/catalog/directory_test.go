package catalog

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var feed = netip.MustParseAddrPort("198.18.0.1:8443")

func newTestDirectory() *Directory {
	d := NewDirectory(Settings{DepartedRetention: time.Minute, OutageGrace: 2 * time.Second})
	d.SetConfig(config(1, "orders"))
	return d
}

func config(version uint64, pool PoolID) Config {
	return Config{Version: version, Routes: []Route{{Address: feed, Pools: []PoolWeight{{Pool: pool, Weight: 1}}}}}
}

func entry(name string, id TargetID) Target {
	return Target{ID: id, Name: name, Pool: "orders", Slots: 1, StartMillis: 1}
}

func view(d *Directory, now time.Duration) *View {
	view, _ := d.View(now)
	return view
}

func names(pool *Pool) []string {
	var all []string
	for _, target := range pool.Offered {
		all = append(all, target.Name)
	}
	return all
}

func TestSetConfigRejectsOlderVersion(t *testing.T) {
	d := newTestDirectory()
	require.True(t, d.SetConfig(config(5, "orders")))
	require.False(t, d.SetConfig(config(4, "orders")))
	require.False(t, d.SetConfig(config(5, "orders")))
	require.EqualValues(t, 5, view(d, 0).Version)
}

func TestViewReadyNeedsConfigAndTarget(t *testing.T) {
	require.False(t, (*View)(nil).Ready())
	d := NewDirectory(Settings{})
	d.Put(0, entry("t1", 1))
	require.False(t, view(d, 0).Ready())
	d.SetConfig(config(1, "orders"))
	require.True(t, view(d, 0).Ready())
	d.Remove(0, "t1")
	require.False(t, view(d, 0).Ready())
}

func TestDepartedTargetServesOpenFlowsOnly(t *testing.T) {
	d := newTestDirectory()
	d.Put(0, entry("t1", 0x17))
	d.Remove(time.Second, "t1")
	pool := view(d, 2*time.Second).Pools["orders"]
	require.Empty(t, pool.Offered)
	require.Equal(t, "t1", pool.Target(0x17).Name)
	require.Nil(t, view(d, time.Second+time.Minute).Routes[feed].Target(0x17))
}

func TestEntriesMissingAfterStoreOutageStayOffered(t *testing.T) {
	d := newTestDirectory()
	d.Put(0, entry("t1", 1))
	d.Put(0, entry("t2", 2))
	d.RemoveUnlisted(0, map[string]bool{"t1": true, "t2": true})
	d.RecordStoreFailure(10 * time.Second)
	d.RemoveUnlisted(11*time.Second, map[string]bool{"t1": true})
	current, next := d.View(11 * time.Second)
	require.Equal(t, []string{"t1", "t2"}, names(current.Pools["orders"]))
	require.Equal(t, 12*time.Second, next, "the grace period of t2 ends")
	require.Equal(t, []string{"t1"}, names(view(d, next).Pools["orders"]))
}

func TestViewCompleteAfterGracePeriod(t *testing.T) {
	d := newTestDirectory()
	d.Put(0, entry("t1", 1))
	require.False(t, view(d, time.Hour).Complete, "the list has not been read yet")
	d.RemoveUnlisted(10*time.Second, map[string]bool{"t1": true})
	current, next := d.View(11 * time.Second)
	require.False(t, current.Complete)
	require.Equal(t, 12*time.Second, next)
	require.True(t, view(d, 12*time.Second).Complete)
	d.RecordStoreFailure(20 * time.Second)
	require.False(t, view(d, 21*time.Second).Complete)
	require.True(t, view(d, 22*time.Second).Complete)
}

// Guards against callers who wait for a timeout, at every host, for as long as one entry can't
// be read: it leaves only its own target in doubt.
func TestUnreadableEntryLeavesOnlyItsTargetInDoubt(t *testing.T) {
	d := newTestDirectory()
	d.RemoveUnlisted(0, nil)
	d.Put(0, entry("t1", 1))
	d.PutUnreadable(time.Second, "t1", 1)
	current := view(d, time.Hour)
	require.True(t, current.Complete, "all other targets are known")
	require.True(t, current.MayRun(1), "t1 may still have open flows")
	require.False(t, current.MayRun(2))
	require.Empty(t, names(current.Pools["orders"]))
	d.Remove(time.Second, "t1")
	require.False(t, view(d, time.Hour).MayRun(1))
	d.PutUnreadable(time.Second, "t2", 2)
	d.RemoveUnlisted(time.Second, nil)
	require.False(t, view(d, time.Hour).MayRun(2))
	d.PutUnreadable(time.Second, "t2", 2)
	d.Put(time.Second, entry("t2", 2))
	require.True(t, view(d, time.Hour).MayRun(2), "it does")
}

func TestViewListsRemovedAddresses(t *testing.T) {
	d := newTestDirectory()
	d.SetConfig(Config{Version: 2})
	require.True(t, view(d, 0).RemovedAddresses[feed])
	d.SetConfig(config(3, "orders"))
	require.False(t, view(d, 0).RemovedAddresses[feed])
}

func TestEntryRemovedAfterGracePeriodIsNotOffered(t *testing.T) {
	d := newTestDirectory()
	d.Put(0, entry("t1", 1))
	d.RecordStoreFailure(time.Second)
	d.Remove(10*time.Second, "t1")
	require.Empty(t, names(view(d, 10*time.Second).Pools["orders"]))
}

func TestCookieCollisionGoesToTargetStartedFirst(t *testing.T) {
	d := newTestDirectory()
	first, second := entry("t1", 0xaa_0000_0001), entry("t2", 0xbb_0000_0001)
	second.StartMillis = 2
	d.Put(0, second)
	d.Put(0, first)
	for range 20 {
		pool := view(d, 0).Pools["orders"]
		require.Equal(t, []string{"t1"}, names(pool))
		require.Equal(t, "t1", pool.Target(1).Name)
	}
	d.Remove(0, "t1")
	require.Empty(t, names(view(d, time.Second).Pools["orders"]), "t1 may still have open flows, so t2 must not get its cookie")
	require.Equal(t, []string{"t2"}, names(view(d, time.Hour).Pools["orders"]))
}

func TestRouteListsFormerPools(t *testing.T) {
	d := newTestDirectory()
	d.Put(0, entry("t1", 1))
	d.SetConfig(config(2, "proofs"))
	require.Equal(t, "t1", view(d, 0).Routes[feed].Target(1).Name)
	d.SetConfig(Config{Version: 3})
	d.SetConfig(config(4, "proofs"))
	require.Nil(t, view(d, 0).Routes[feed].Target(1), "removing the route ended its flows, so its former pools are dropped")
}

// benchmarkView measures building the view of a directory with the number of targets.
func benchmarkView(b *testing.B, targets int) {
	d := NewDirectory(Settings{DepartedRetention: time.Minute, OutageGrace: time.Second})
	d.SetConfig(Config{Version: 1, Routes: []Route{{Address: netip.MustParseAddrPort("198.18.0.1:1"), Pools: []PoolWeight{{Pool: "p", Weight: 1}}}}})
	for i := range targets {
		d.Put(0, Target{ID: TargetID(i), Name: fmt.Sprint("t", i), Pool: "p", Slots: 2})
	}
	d.RemoveUnlisted(0, map[string]bool{})
	for i := range targets {
		d.Put(0, Target{ID: TargetID(i), Name: fmt.Sprint("t", i), Pool: "p", Slots: 2})
	}
	b.ReportAllocs()
	for b.Loop() {
		d.View(time.Minute)
	}
}

func BenchmarkView150(b *testing.B)   { benchmarkView(b, 150) }
func BenchmarkView3000(b *testing.B)  { benchmarkView(b, 3000) }
func BenchmarkView27000(b *testing.B) { benchmarkView(b, 27_000) }
