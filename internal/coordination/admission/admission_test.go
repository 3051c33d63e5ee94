package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/state"
)

func TestSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Demand {
			return Demand{
				Weight: float64(rapid.IntRange(1, 100).Draw(t, "weight")),
				Want:   float64(rapid.IntRange(0, 1000).Draw(t, "want")),
			}
		}), 1, 20).Draw(t, "demands")
		capacity := float64(rapid.IntRange(0, 5000).Draw(t, "capacity"))
		shares := Shares(capacity, demands)
		sum, wanted := 0.0, 0.0
		for i, d := range demands {
			require.LessOrEqual(t, shares[i], d.Want)
			sum += shares[i]
			wanted += d.Want
		}
		require.InDelta(t, min(capacity, wanted), sum, 1e-6*(1+sum))
		for i, d := range demands {
			if shares[i] == d.Want {
				continue
			}
			for j, other := range demands {
				require.LessOrEqual(t, shares[j]/other.Weight, shares[i]/d.Weight+1e-9*(1+sum),
					"no customer gets more per weight than one whose demand is not met")
			}
		}
	})
}

// minKeptShare is the specified minimum fraction of its admitted events that the smallest
// customer keeps while the largest one sends a burst.
const minKeptShare = 0.95

// arrivals generates one customer's Poisson arrivals.
type arrivals struct {
	customer state.CustomerID
	// rate is in events a second.
	rate   float64
	random *rand.Rand
}

// admittedSmall simulates 20 s of arrivals and returns the small customer's admitted
// events. burst scales the large customer's rate. Each customer has its own random source,
// so that a burst does not change the arrivals of the others.
func admittedSmall(seed uint64, capacity, burst float64) int {
	customers := []arrivals{
		{"large", 1200 * burst, rand.New(rand.NewPCG(seed, 1))},
		{"middle", 500, rand.New(rand.NewPCG(seed, 2))},
		{"small", 100, rand.New(rand.NewPCG(seed, 3))},
	}
	r := NewRateLimiter(capacity)
	small := 0
	start := time.Unix(1_700_000_000, 0)
	for at := time.Duration(0); at < 20*time.Second; at += time.Millisecond {
		for _, o := range customers {
			for n := poisson(o.random, o.rate/1000); n > 0; n-- {
				if r.Admit(start.Add(at), o.customer, 1) && o.customer == "small" {
					small++
				}
			}
		}
	}
	return small
}

// poisson draws a Poisson-distributed number of arrivals with the given mean, which must
// be below 20.
func poisson(random *rand.Rand, expected float64) int {
	n := 0
	for left := expected; ; n++ {
		left -= random.ExpFloat64()
		if left < 0 {
			return n
		}
	}
}

func TestSmallestCustomerKeepsItsShareUnderBurst(t *testing.T) {
	for _, capacity := range []float64{2000, 400} {
		for seed := range uint64(5) {
			alone := admittedSmall(seed, capacity, 1)
			burst := admittedSmall(seed, capacity, 10)
			t.Logf("capacity %.0f, seed %d: %d without the burst, %d with it", capacity, seed, alone, burst)
			require.NotZero(t, alone)
			require.GreaterOrEqual(t, float64(burst), minKeptShare*float64(alone))
		}
	}
}

func TestRateLimiterLendsUnusedCapacityWithinLimit(t *testing.T) {
	r := NewRateLimiter(1000)
	now := time.Unix(1_700_000_000, 0)
	for range 10 {
		for range 500 {
			r.Admit(now, "only", 1)
		}
		now = now.Add(interval)
	}
	got := 0
	for range 500 {
		if r.Admit(now, "only", 1) {
			got++
		}
	}
	require.Equal(t, 100, got)
	require.Equal(t, interval, r.RetryAfter(now))
	require.True(t, NewRateLimiter(0).Admit(now, "any", 1))
}
