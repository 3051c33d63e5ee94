package objects

import (
	"slices"

	"github.com/guavawharf/guavawharf/internal/state"
)

// AssembleCheckpoint returns the release that the parts of a checkpoint form, or nil
// if parts are missing. The parts may be in any order.
func AssembleCheckpoint(parts []Checkpoint) *state.Release {
	if len(parts) == 0 || len(parts) != parts[0].Parts {
		return nil
	}
	sorted := slices.Clone(parts)
	slices.SortFunc(sorted, func(a, b Checkpoint) int { return a.Part - b.Part })
	whole := sorted[0].Release
	whole.Services = slices.Clone(whole.Services)
	for _, part := range sorted[1:] {
		whole.Services = append(whole.Services, part.Release.Services...)
	}
	return &whole
}
