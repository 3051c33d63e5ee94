// Package lookup builds the Maglev lookup tables of services and derives a service's
// entry from its entry under the previous release. All functions are pure, and tables
// are the same on every host.
package lookup

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/guavawharf/guavawharf/internal/state"
)

// slotsPerTarget is the minimum number of table slots per target, on average.
const slotsPerTarget = 100

// tableSizes are the table lengths; all are primes, so that the skip of every
// permutation is coprime to them.
var tableSizes = [...]uint64{1021, 4093, 16381, 65521, 262139, 1048573, 4194301}

// tableSize returns the length of the table for a number of targets: the smallest
// with slotsPerTarget slots for each, or the largest.
func tableSize(targets int) uint64 {
	want := uint64(targets) * slotsPerTarget
	for _, size := range tableSizes {
		if size >= want {
			return size
		}
	}
	return tableSizes[len(tableSizes)-1]
}

// permutation is a target's preference list over the slots of a table, as in the
// Maglev paper, together with the target's progress in populate.
type permutation struct {
	number state.TargetNumber
	weight uint32
	// credit is the accumulated weight that no slot has been claimed for yet.
	credit uint64
	offset uint64
	skip   uint64
	// next is the index of the next preference to try.
	next uint64
}

// newPermutation derives the preference list from a hash of the target's ID.
func newPermutation(t state.Target, size uint64) permutation {
	sum := xxh3.HashString128(string(t.ID))
	return permutation{
		number: t.Number,
		weight: t.Weight,
		offset: sum.Hi % size,
		skip:   sum.Lo%(size-1) + 1,
	}
}

// claim assigns the target the first free slot of its preference list.
func (p *permutation) claim(slots []state.TargetNumber) {
	size := uint64(len(slots))
	for {
		slot := (p.offset + p.next*p.skip) % size
		p.next++
		if slots[slot] == 0 {
			slots[slot] = p.number
			return
		}
	}
}

// Build returns the weighted Maglev table of the targets that take new flows. The
// result does not depend on the order of targets. The table has no slots if no target
// takes new flows. The caller sets the version.
func Build(targets []state.Target) *state.LookupTable {
	usable := usableTargets(targets)
	if len(usable) == 0 {
		return &state.LookupTable{}
	}
	slices.SortFunc(usable, func(a, b state.Target) int { return cmp.Compare(a.ID, b.ID) })
	size := tableSize(len(usable))
	permutations := make([]permutation, 0, len(usable))
	heaviest := uint32(0)
	for _, t := range usable {
		permutations = append(permutations, newPermutation(t, size))
		heaviest = max(heaviest, t.Weight)
	}
	return &state.LookupTable{Slots: populate(permutations, size, uint64(heaviest))}
}

// acceptsNewFlows reports whether a target may get new flows: it is not leaving and
// has a weight.
func acceptsNewFlows(t state.Target) bool {
	return !t.Leaving && t.Weight > 0
}

// usableTargets returns a copy of the list without the targets that get no new
// flows.
func usableTargets(targets []state.Target) []state.Target {
	return slices.DeleteFunc(slices.Clone(targets), func(t state.Target) bool {
		return !acceptsNewFlows(t)
	})
}

// populate fills the slots: targets claim slots in rounds, in proportion to their
// weights. The heaviest target claims one slot in each round.
func populate(permutations []permutation, size, heaviest uint64) []state.TargetNumber {
	slots := make([]state.TargetNumber, size)
	for filled := uint64(0); ; {
		for i := range permutations {
			p := &permutations[i]
			p.credit += uint64(p.weight)
			if p.credit < heaviest {
				continue
			}
			p.credit -= heaviest
			p.claim(slots)
			filled++
			if filled == size {
				return slots
			}
		}
	}
}
