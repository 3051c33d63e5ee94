package shed

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func repeat(size uint32, count int) []uint32 { return slices.Repeat([]uint32{size}, count) }

// Rejections of any size are told from answers that are far longer.
func TestSizeOfRejectionsIsLearned(t *testing.T) {
	for _, c := range []struct{ answer, rejection uint32 }{{800, 153}, {1200, 700}, {250, 153}} {
		var s sizes
		require.False(t, s.rejection(c.rejection), "nothing is known yet")
		s.learn(repeat(c.answer, minSizes))
		require.True(t, s.rejection(c.rejection), "%+v", c)
		require.False(t, s.rejection(c.answer*9/10), "%+v", c)
		require.False(t, s.rejection(0), "not known")
	}
}

// Answers of another size become usual as the work changes.
func TestUsualSizesFollowTheWork(t *testing.T) {
	var s sizes
	s.learn(repeat(4000, keptSizes))
	require.True(t, s.rejection(400))
	s.learn(repeat(400, keptSizes))
	require.False(t, s.rejection(400))
	require.True(t, s.rejection(153))
}

// One of many callers whose answers are short doesn't hide the rejections.
func TestFewShortAnswersAreNotUsual(t *testing.T) {
	var s sizes
	s.learn(append(repeat(153, shortRank), repeat(800, keptSizes-shortRank)...))
	require.True(t, s.rejection(153))
}
