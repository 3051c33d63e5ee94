package health

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fixture is a tracker with the targets of one service and a clock.
type fixture struct {
	tracker *Tracker
	now     time.Time
	entries []*state.TargetEntry
}

func newFixture(targets int) *fixture {
	f := &fixture{tracker: New(Settings{}), now: epoch}
	for i := range targets {
		f.add(i + 1)
	}
	f.decide()
	f.now = f.now.Add(DefaultSlowStart)
	return f
}

func (f *fixture) add(number int) {
	entry := &state.TargetEntry{Service: 100, ShareMilli: FullShare}
	entry.Number = state.TargetNumber(number)
	entry.ID = targetID(number)
	f.entries = append(f.entries, entry)
}

func targetID(number int) state.TargetID { return state.TargetID(fmt.Sprintf("target-%d", number)) }

func (f *fixture) decide() map[int]Decision {
	found := make(map[int]Decision)
	for _, v := range f.tracker.Decide(f.now, f.entries) {
		found[int(v.Number)] = v
	}
	return found
}

// serve advances the clock by a second in which every target gets openings; success
// returns the fraction of them that a target completes.
func (f *fixture) serve(openings int64, success func(number int) float64) map[int]Decision {
	f.now = f.now.Add(time.Second)
	var samples []Sample
	for _, e := range f.entries {
		completed := int64(float64(openings) * success(int(e.Number)))
		samples = append(samples, Sample{Target: e.Number, Openings: openings, Completed: completed})
	}
	f.tracker.RecordSamples(f.now, samples)
	return f.decide()
}

func (f *fixture) loads(loads ...objects.TargetLoad) {
	for i := range loads {
		if loads[i].At.IsZero() {
			loads[i].At = f.now
		}
	}
	f.tracker.RecordLoads(f.now, objects.LoadList{Loads: loads})
}

func succeeding(int) float64 { return 1 }

// failing returns a success function for serve in which the given targets complete a
// tenth of their openings.
func failing(numbers ...int) func(int) float64 {
	return func(n int) float64 {
		if slices.Contains(numbers, n) {
			return 0.1
		}
		return 1
	}
}

func ejected(decisions map[int]Decision) []int {
	var numbers []int
	for n, v := range decisions {
		if v.Ejected {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func TestEjection(t *testing.T) {
	cases := map[string]struct {
		targets int
		failing []int
		ejected []int
	}{
		"none fails":                {14, nil, nil},
		"one of fourteen":           {14, []int{3}, []int{3}},
		"as many as the cap":        {14, []int{1, 2, 3, 4}, []int{1, 2, 3, 4}},
		"more than the cap":         {14, []int{1, 2, 3, 4, 5, 6}, []int{1, 2, 3, 4}},
		"below the panic threshold": {14, []int{1, 2, 3, 4, 5, 6, 7, 8}, nil},
		"one of two":                {2, []int{1}, []int{1}},
		"the only one":              {1, []int{1}, nil},
		"one of four":               {4, []int{4}, []int{4}},
		"all: common cause":         {4, []int{1, 2, 3, 4}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(c.targets)
			f.serve(20, succeeding)
			var decisions map[int]Decision
			for range 12 {
				decisions = f.serve(20, failing(c.failing...))
				f.now = f.now.Add(-800 * time.Millisecond)
			}
			require.Equal(t, c.ejected, ejected(decisions))
		})
	}
}

func TestRepeatedEjectionsGrowAndEndInSlowStart(t *testing.T) {
	f := newFixture(14)
	var lengths []time.Duration
	for range 3 {
		for len(ejected(f.serve(20, failing(3)))) == 0 {
			continue
		}
		began := f.now
		for len(ejected(f.serve(0, succeeding))) > 0 {
			continue
		}
		lengths = append(lengths, f.now.Sub(began).Round(DefaultEjectFor))
		require.LessOrEqual(t, f.decide()[3].ShareMilli, uint32(200), "a reinstated target starts with a small share")
	}
	require.Equal(t, []time.Duration{DefaultEjectFor, 2 * DefaultEjectFor, 3 * DefaultEjectFor}, lengths)
}

func TestMisreportingTargetGainsLittle(t *testing.T) {
	cases := map[string]struct {
		report  objects.TargetLoad
		success float64
		// maxShareRatio bounds the share relative to that of a target that reports truly.
		maxShareRatio float64
	}{
		"idle, does well":       {objects.TargetLoad{Healthy: true, Load: 0}, 1, maxLoadFactor},
		"idle, does less well":  {objects.TargetLoad{Healthy: true, Load: 0}, 0.7, 0.8},
		"idle, fails":           {objects.TargetLoad{Healthy: true, Load: 0}, 0.1, 0},
		"idle, from the future": {objects.TargetLoad{Healthy: true, Load: 0, At: epoch.Add(time.Hour)}, 1, maxLoadFactor},
		"idle, below zero":      {objects.TargetLoad{Healthy: true, Load: -1e9}, 1, maxLoadFactor},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(14)
			var decisions map[int]Decision
			for range 10 {
				loads := []objects.TargetLoad{c.report}
				loads[0].Target = targetID(1)
				for n := 2; n <= 14; n++ {
					loads = append(loads, objects.TargetLoad{Target: targetID(n), Healthy: true, Load: 0.8})
				}
				f.loads(loads...)
				decisions = f.serve(20, func(n int) float64 {
					if n == 1 {
						return c.success
					}
					return 1
				})
			}
			misreporting, honest := decisions[1], decisions[2]
			got := float64(misreporting.ShareMilli) / float64(honest.ShareMilli)
			if misreporting.Ejected {
				got = 0
			}
			require.LessOrEqual(t, got, c.maxShareRatio+float64(ShareStep)/FullShare)
		})
	}
}

func TestReportedOverloadLowersShareWhileFresh(t *testing.T) {
	f := newFixture(4)
	f.loads(
		objects.TargetLoad{Target: targetID(1), Healthy: true, Load: 1},
		objects.TargetLoad{Target: targetID(2), Healthy: true, Load: 0.3},
		objects.TargetLoad{Target: targetID(3), Healthy: true, Load: 0.3},
		objects.TargetLoad{Target: targetID(4), Healthy: true, Load: 0.3},
	)
	fresh := f.decide()[1].ShareMilli
	f.now = f.now.Add(DefaultMaxLoadAge / 2)
	older := f.decide()[1].ShareMilli
	f.now = f.now.Add(DefaultMaxLoadAge)
	require.Equal(t, uint32(FullShare), f.decide()[1].ShareMilli)
	require.Less(t, fresh, older)
	require.Less(t, older, uint32(FullShare))
	require.GreaterOrEqual(t, float64(fresh), minLoadFactor*FullShare)
}

func TestSmallLoadDifferencesAreIgnored(t *testing.T) {
	f := newFixture(14)
	rng := rand.New(rand.NewPCG(1, 2))
	var loads []objects.TargetLoad
	for n := 1; n <= 14; n++ {
		loads = append(loads, objects.TargetLoad{Target: targetID(n), Healthy: true, Load: 0.5 + rng.Float64()*loadTolerance})
	}
	f.loads(loads...)
	for n, v := range f.serve(20, succeeding) {
		require.EqualValues(t, FullShare, v.ShareMilli, "target %d", n)
	}
}

func TestReportedUnhealthy(t *testing.T) {
	f := newFixture(14)
	unhealthy := objects.TargetLoad{Target: targetID(2), Healthy: false}
	f.loads(unhealthy)
	require.Equal(t, []int{2}, ejected(f.decide()), "a fresh report counts without evidence to the contrary")

	proven := newFixture(14)
	for range 5 {
		proven.serve(20, succeeding)
	}
	proven.loads(unhealthy)
	require.Empty(t, ejected(proven.decide()), "the packet path's evidence contradicts the report")

	stale := newFixture(14)
	unhealthy.At = stale.now.Add(-DefaultMaxLoadAge)
	stale.loads(unhealthy)
	require.Empty(t, ejected(stale.decide()), "the report is too old")
}

func TestPanicThreshold(t *testing.T) {
	for unhealthy, want := range map[int]int{4: 4, 7: 4, 8: 0, 14: 0} {
		f := newFixture(14)
		var loads []objects.TargetLoad
		for n := 1; n <= unhealthy; n++ {
			loads = append(loads, objects.TargetLoad{Target: targetID(n), Healthy: false, Load: 1})
		}
		f.loads(loads...)
		decisions := f.decide()
		require.Len(t, ejected(decisions), want, "%d of 14 report themselves unhealthy", unhealthy)
		if want > 0 {
			continue
		}
		for _, v := range decisions {
			require.EqualValues(t, FullShare, v.ShareMilli)
		}
	}
}

func TestDrainSignalMarksTargetLeaving(t *testing.T) {
	f := newFixture(4)
	f.loads(objects.TargetLoad{Target: targetID(1), Healthy: true, Draining: true})
	f.now = f.now.Add(time.Hour)
	require.True(t, f.decide()[1].Leaving, "a drain signal does not expire")
	f.loads(objects.TargetLoad{Target: targetID(1), Healthy: true, At: epoch})
	require.True(t, f.decide()[1].Leaving, "an older report is ignored")
	f.loads(objects.TargetLoad{Target: targetID(1), Healthy: true})
	require.False(t, f.decide()[1].Leaving)
}

func TestNewTargetStartsSlowly(t *testing.T) {
	f := newFixture(4)
	f.add(5)
	require.EqualValues(t, initialFactor*FullShare, f.decide()[5].ShareMilli)
	last := uint32(0)
	for range int(DefaultSlowStart / time.Second) {
		share := f.serve(20, succeeding)[5].ShareMilli
		require.GreaterOrEqual(t, share, last)
		last = share
	}
	require.EqualValues(t, FullShare, last)
	f.tracker.Remove(5)
	require.EqualValues(t, initialFactor*FullShare, f.decide()[5].ShareMilli)
}

func TestWholeServiceStartsAtFullShare(t *testing.T) {
	f := &fixture{tracker: New(Settings{}), now: epoch}
	for n := range 4 {
		f.add(n + 1)
	}
	for _, v := range f.decide() {
		require.EqualValues(t, FullShare, v.ShareMilli)
	}
}

func TestRetransmissionsLowerTheShare(t *testing.T) {
	f := newFixture(4)
	for range 5 {
		f.serve(20, succeeding)
		f.tracker.RecordSamples(f.now, []Sample{{Target: 1, Retransmits: 20}, {Target: 2, Retransmits: 1}})
	}
	decisions := f.decide()
	require.EqualValues(t, outlierRetransmitFactor*FullShare, decisions[1].ShareMilli)
	require.EqualValues(t, FullShare, decisions[2].ShareMilli)
}

func TestLowMedianSuccessDisablesOutlierDetection(t *testing.T) {
	f := newFixture(4)
	for range 10 {
		decisions := f.serve(50, func(n int) float64 { return float64(n) / 20 })
		require.Empty(t, ejected(decisions))
		require.EqualValues(t, FullShare, decisions[1].ShareMilli)
	}
}

// TestDecisionBounds checks the bounds on shares and ejections while targets fail,
// misreport, drain and are withdrawn at random.
func TestDecisionBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := rapid.IntRange(1, 20).Draw(rt, "targets")
		f := newFixture(targets)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "ms")) * time.Millisecond)
			e := f.entries[rapid.IntRange(0, targets-1).Draw(rt, "target")]
			f.tracker.RecordSamples(f.now, []Sample{{
				Target:      e.Number,
				Openings:    rapid.Int64Range(-5, 100).Draw(rt, "openings"),
				Completed:   rapid.Int64Range(-5, 100).Draw(rt, "completed"),
				Retransmits: rapid.Int64Range(-5, 100).Draw(rt, "retransmits"),
				Resets:      rapid.Int64Range(-5, 100).Draw(rt, "resets"),
			}})
			f.loads(objects.TargetLoad{
				Target:   e.ID,
				Healthy:  rapid.Bool().Draw(rt, "healthy"),
				Draining: rapid.IntRange(0, 5).Draw(rt, "draining") == 0,
				Load:     rapid.Float64Range(-2, 3).Draw(rt, "load"),
				At:       f.now.Add(time.Duration(rapid.IntRange(-60, 60).Draw(rt, "age")) * time.Second),
			})
			e.Withdrawn = rapid.IntRange(0, 9).Draw(rt, "withdrawn") == 0
			checkDecisions(rt, f)
		}
	})
}

func checkDecisions(rt *rapid.T, f *fixture) {
	decisions := f.tracker.Decide(f.now, f.entries)
	require.Len(rt, decisions, len(f.entries))
	require.True(rt, slices.IsSortedFunc(decisions, func(a, b Decision) int { return int(a.Number) - int(b.Number) }))
	available, ejections, full := 0, 0, 0
	for i, v := range decisions {
		require.GreaterOrEqual(rt, v.ShareMilli, uint32(MinShare))
		require.LessOrEqual(rt, v.ShareMilli, uint32(FullShare))
		if v.Leaving || f.entries[i].Withdrawn {
			require.False(rt, v.Ejected)
			continue
		}
		available++
		if v.Ejected {
			ejections++
		} else if v.ShareMilli == FullShare {
			full++
		}
	}
	require.LessOrEqual(rt, ejections, Settings{}.withDefaults().MaxEjections(available))
	require.True(rt, available == 0 || full > 0, "one available target has a full share")
	shuffled := slices.Clone(f.entries)
	slices.Reverse(shuffled)
	require.Equal(rt, decisions, f.tracker.Decide(f.now, shuffled), "the order of entries has no effect")
}
