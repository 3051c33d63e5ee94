package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
)

// entryIn returns the entry of a target in a failure domain.
func entryIn(name string, id TargetID, domain state.DomainID) Target {
	target := entry(name, id)
	target.Domain = domain
	return target
}

func domains(names ...state.DomainID) map[state.DomainID]bool {
	set := make(map[state.DomainID]bool)
	for _, name := range names {
		set[name] = true
	}
	return set
}

// newDrainDirectory returns a directory with one target in each of two failure domains.
func newDrainDirectory() *Directory {
	d := NewDirectory(restoreSettings)
	d.SetConfig(config(1, "orders"))
	d.Put(0, entryIn("t1", 1, "a"))
	d.Put(0, entryIn("t2", 2, "b"))
	return d
}

func TestDrainedDomainIsNotOffered(t *testing.T) {
	d := newDrainDirectory()
	require.True(t, d.Drain("a"))
	require.False(t, d.Drain("a"), "it is in force already")
	pool := view(d, time.Second).Pools["orders"]
	require.Equal(t, []string{"t2"}, names(pool))
	require.Equal(t, 1, pool.Drained)
	require.Equal(t, "t1", pool.Target(1).Name, "its open flows go on")
	d.Put(time.Second, entryIn("t3", 3, "a"))
	require.Equal(t, []string{"t2"}, offered(d, time.Second), "registered since")
	moved := entryIn("t2", 2, "a")
	moved.Sequence = 9
	d.Put(time.Second, moved)
	require.Empty(t, offered(d, time.Second), "moved there since")
	require.True(t, d.RemoveDrain(2*time.Second, "a"))
	require.False(t, d.RemoveDrain(2*time.Second, "a"))
	require.Equal(t, []string{"t1", "t2", "t3"}, offered(d, 2*time.Second))
}

func TestDrainOfUnknownDomainHoldsForItsLaterTargets(t *testing.T) {
	d := newDrainDirectory()
	d.Drain("c")
	d.Put(time.Second, entryIn("t9", 9, "c"))
	require.Equal(t, []string{"t1", "t2"}, offered(d, time.Second))
}

func TestListReplacesDrains(t *testing.T) {
	d := newDrainDirectory()
	d.Drain("a")
	require.True(t, d.ListDrains(time.Second, domains("b"), false))
	require.Equal(t, []string{"t1"}, offered(d, time.Second))
	require.False(t, d.ListDrains(2*time.Second, domains("b"), false), "nothing has changed")
}

func TestViewWaitsForDrains(t *testing.T) {
	settings := restoreSettings
	settings.AwaitDrains = time.Second
	d := NewDirectory(settings)
	d.SetConfig(config(1, "orders"))
	d.Put(0, entryIn("t1", 1, "a"))
	current, next := d.View(0)
	require.False(t, current.Ready())
	require.False(t, current.CanDecide())
	require.Equal(t, time.Second, next)
	require.True(t, view(d, time.Second).Ready(), "the wait is over")
	require.True(t, d.ListDrains(0, nil, false), "an empty list makes the host ready")
	require.True(t, view(d, 0).Ready())
}

func TestDrainsStandWhenTheStoreIsRestored(t *testing.T) {
	d := newDrainDirectory()
	d.ListDrains(0, domains("b"), false)
	d.Drain("a")
	d.RemoveDrain(time.Second, "b")
	require.Equal(t, []string{"t2"}, offered(d, time.Second))

	d.ListDrains(2*time.Second, domains("b"), true)
	current, next := d.View(2 * time.Second)
	require.Equal(t, domains("a", "b"), current.DrainedDomains, "the operator may have drained b again")
	require.Equal(t, 8*time.Second, next)
	require.Equal(t, domains("a", "b"), view(d, 8*time.Second-1).DrainedDomains)
	require.Equal(t, domains("b"), view(d, 8*time.Second).DrainedDomains, "nobody has drained a again")
}

func TestChangeAfterRestoreCountsAtOnce(t *testing.T) {
	d := newDrainDirectory()
	d.Drain("a")
	d.RemoveDrain(time.Second, "b")
	d.ListDrains(2*time.Second, domains("b"), true)
	d.RemoveDrain(3*time.Second, "a")
	d.Drain("b")
	require.Equal(t, domains("b"), view(d, 3*time.Second).DrainedDomains)
	require.Equal(t, domains("b"), view(d, time.Minute).DrainedDomains)
}

func TestDrainKnownOnlyToTheBackupIsInForce(t *testing.T) {
	d := newDrainDirectory()
	d.ListDrains(2*time.Second, domains("a"), true)
	require.Equal(t, domains("a"), view(d, 2*time.Second).DrainedDomains)
}

// The entries of a domain's targets tell late that they have started again while the domain
// was drained.
func TestTargetsOfAReturnedDomainAreInTheirSlowStart(t *testing.T) {
	d := newDrainDirectory()
	limited := config(2, "orders")
	limited.SlowStarts = map[PoolID]SlowStart{"orders": {Length: 2 * time.Second, PerSecond: 3}}
	d.SetConfig(limited)
	d.Drain("a")
	d.RemoveDrain(10*time.Second, "a")
	pool := view(d, 10*time.Second).Pools["orders"]
	require.Equal(t, 12*time.Second, pool.Target(1).SlowUntil)
	require.Zero(t, pool.Target(2).SlowUntil, "the other domain")
	started := entryIn("t1", 1, "a")
	started.WarmUp = 1500 * time.Millisecond
	d.Put(11*time.Second, started)
	require.Equal(t, 12500*time.Millisecond, view(d, 11*time.Second).Pools["orders"].Target(1).SlowUntil)
}
