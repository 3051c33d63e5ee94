package outcomes

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCountsAreDrained(t *testing.T) {
	var a Account
	a.Made(Placing)
	a.Made(Placing)
	a.Wrong(Placing)
	a.Add(Refusing, Count{Made: 5})
	require.Equal(t, map[Decision]Count{Placing: {Made: 2, Wrong: 1}, Refusing: {Made: 5}}, a.Drain())
	require.Empty(t, a.Drain())
}

func TestAnotherFreeTargetIsTold(t *testing.T) {
	var f FreeTargets[string]
	f.Record(10, "a")
	require.True(t, f.OtherSince(10, "b"))
	require.False(t, f.OtherSince(11, "b"), "too long ago")
	require.False(t, f.OtherSince(5, "a"), "the target itself")
	f.Record(12, "b")
	f.Record(13, "b")
	require.True(t, f.OtherSince(10, "b"), "the one before")
	require.False(t, f.OtherSince(11, "b"))
}
