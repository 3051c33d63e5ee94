package lookup

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/state"
)

// targets returns n targets of weight 1, spread over 3 failure domains.
func targets(n int) []state.Target {
	list := make([]state.Target, n)
	for i := range list {
		list[i] = state.Target{
			ID:     state.TargetID(fmt.Sprintf("t%03d", i)),
			Number: state.TargetNumber(i + 1),
			Domain: state.DomainID(fmt.Sprintf("d%d", i%3)),
			Weight: 1,
		}
	}
	return list
}

// count returns the number of slots of each target.
func count(table *state.LookupTable) map[state.TargetNumber]int {
	slots := make(map[state.TargetNumber]int)
	for _, number := range table.Slots {
		slots[number]++
	}
	return slots
}

func TestBuildIgnoresTargetOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := targets(rapid.IntRange(1, 60).Draw(t, "targets"))
		for i := range list {
			list[i].Weight = rapid.Uint32Range(0, 100).Draw(t, "weight")
			list[i].Leaving = rapid.Bool().Draw(t, "leaving")
		}
		table := Build(list)
		seed := rapid.Uint64().Draw(t, "seed")
		rand.New(rand.NewPCG(seed, 0)).Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		require.Equal(t, table, Build(list))
		slots := count(table)
		for _, target := range list {
			require.Equal(t, acceptsNewFlows(target) && len(table.Slots) > 0, slots[target.Number] > 0)
		}
	})
}

func TestBuildFollowsWeights(t *testing.T) {
	list := targets(14)
	list[3].Weight = 3
	slots := count(Build(list))
	for _, target := range list {
		want := float64(len(Build(list).Slots)) * float64(target.Weight) / 16
		require.InEpsilon(t, want, slots[target.Number], 0.02, target.ID)
	}
}

func TestBuildLimitsDisruption(t *testing.T) {
	list := targets(14)
	before := Build(list)
	list[5].Leaving = true
	after := Build(list)
	moved := 0
	for i, number := range before.Slots {
		if number != list[5].Number && number != after.Slots[i] {
			moved++
		}
	}
	require.Less(t, moved, len(before.Slots)/14)
}

func TestBuildSizes(t *testing.T) {
	for _, n := range []int{1, 10, 11, 500, 5000} {
		table := Build(targets(n))
		require.GreaterOrEqual(t, len(table.Slots), n*slotsPerTarget)
	}
	require.Empty(t, Build(nil).Slots)
}

func TestNextEntry(t *testing.T) {
	service := state.Service{ID: "s", Number: 9, Targets: targets(4)}
	first := NextEntry(nil, service, 1)
	require.Same(t, first, NextEntry(first, service, 2))

	first.TargetEntries[0].Counters.FlowRecords.Add(1)
	first.TargetEntries[2].Ejected = true
	changed := service
	changed.Targets = service.Targets[2:]
	second := NextEntry(first, changed, 2)
	require.Len(t, second.Tables, 2)
	require.Equal(t, state.ReleaseVersion(2), second.Tables[0].Version)
	require.Same(t, first.Tables[0], second.Tables[1])
	require.Len(t, second.TargetEntries, 3)
	require.True(t, second.TargetEntries[0].Ejected)
	require.True(t, second.TargetEntries[2].Withdrawn)
	require.Same(t, first.TargetEntries[0].Counters, second.TargetEntries[2].Counters)
	require.False(t, first.TargetEntries[0].Withdrawn)

	changed.Retired = service.Targets[1:2]
	third := NextEntry(second, changed, 3)
	require.Len(t, third.Tables, 2)
	require.Len(t, third.TargetEntries, 4)
	require.True(t, third.TargetEntries[2].Withdrawn)
}

func TestNextEntryBoundsTables(t *testing.T) {
	list := targets(20)
	entry := NextEntry(nil, state.Service{Targets: list}, 1)
	for version := 2; version <= MaxTables+1; version++ {
		entry = NextEntry(entry, state.Service{Targets: list[version:]}, state.ReleaseVersion(version))
	}
	require.Len(t, entry.Tables, MaxTables)

	entry = DropOldTables(entry, 7)
	require.Len(t, entry.Tables, 3)
	require.Equal(t, state.ReleaseVersion(7), entry.Tables[2].Version)
	require.Same(t, entry, DropOldTables(entry, 6))
}

func TestDomainWeights(t *testing.T) {
	list := targets(5)
	list[0].Leaving = true
	require.Equal(t, []state.DomainWeight{
		{Domain: "d0", Weight: 2, Usable: 1},
		{Domain: "d1", Weight: 2, Usable: 2},
		{Domain: "d2", Weight: 1, Usable: 1},
	}, domainWeights(list))
}
