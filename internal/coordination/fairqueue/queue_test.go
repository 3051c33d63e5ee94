package fairqueue

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/state"
)

// packet is an item of the tests.
type packet struct {
	customer state.CustomerID
	number   int
}

func TestQueueKeepsOrderAndLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 20
		q := New[state.CustomerID, packet](limit)
		queued := make(map[packet]bool)
		last := make(map[state.CustomerID]int)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "pop") {
				p, ok := q.Pop()
				require.Equal(t, len(queued) > 0, ok)
				if ok {
					require.True(t, queued[p])
					require.Greater(t, p.number, last[p.customer])
					last[p.customer] = p.number
					delete(queued, p)
				}
			} else {
				p := packet{rapid.SampledFrom([]state.CustomerID{"a", "b", "c"}).Draw(t, "customer"), i + 1}
				queued[p] = true
				dropped, ok := q.Push(p.customer, 1, rapid.IntRange(40, 9000).Draw(t, "size"), p)
				if ok {
					require.True(t, queued[dropped])
					delete(queued, dropped)
				}
			}
			require.Equal(t, len(queued), q.Len())
			require.LessOrEqual(t, q.Len(), limit)
		}
	})
}

func TestBurstDelaysItself(t *testing.T) {
	q := New[state.CustomerID, packet](1000)
	for i := range 5000 {
		q.Push("large", 1, 1500, packet{"large", i})
	}
	for i := range 10 {
		dropped, ok := q.Push("small", 1, 100, packet{"small", i})
		require.True(t, ok)
		require.Equal(t, state.CustomerID("large"), dropped.customer)
	}
	small := 0
	for range 20 {
		p, _ := q.Pop()
		if p.customer == "small" {
			small++
		}
	}
	require.Equal(t, 10, small)
}

func TestBytesAreSharedByWeight(t *testing.T) {
	q := New[state.CustomerID, packet](10_000)
	for i := range 2000 {
		q.Push("light", 1, 500, packet{"light", i})
		q.Push("heavy", 3, 1000, packet{"heavy", i})
	}
	bytes := make(map[state.CustomerID]int)
	for range 1200 {
		p, _ := q.Pop()
		bytes[p.customer] += map[state.CustomerID]int{"light": 500, "heavy": 1000}[p.customer]
	}
	require.InEpsilon(t, 3, float64(bytes["heavy"])/float64(bytes["light"]), 0.02)
}
