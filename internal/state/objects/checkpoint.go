package objects

import (
	"slices"

	"github.com/guavawharf/guavawharf/internal/state"
)

// AssembleCheckpoint puts the parts of a checkpoint together in their order; it
// returns nil when some are missing.
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
