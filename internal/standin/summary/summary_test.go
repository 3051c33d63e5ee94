package summary

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/standin/callers"
	"github.com/guavawharf/guavawharf/internal/standin/upstream"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Each violated guarantee must be listed as exactly one failure.
func TestFailures(t *testing.T) {
	good := callers.GroupReport{Name: "feed", Flows: 3, Answered: 3}
	cases := []struct {
		name   string
		group  callers.GroupReport
		counts upstream.Counts
		want   int
	}{
		{"no failure", good, upstream.Counts{Opened: 3, Run: 9}, 0},
		{"broken", callers.GroupReport{Flows: 3, Answered: 2, Broken: 1}, upstream.Counts{}, 1},
		{"nothing answered", callers.GroupReport{Flows: 3, Refused: 3}, upstream.Counts{}, 1},
		{"wrong service", good, upstream.Counts{WrongService: 1}, 1},
		{"run twice", good, upstream.Counts{RunTwice: 1}, 1},
		{"never opened", good, upstream.Counts{NeverOpened: 1}, 1},
		{"after drain", good, upstream.Counts{AfterDrain: 1}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			report := callers.Report{Groups: []callers.GroupReport{tc.group}}
			s := New(report, []upstream.Counts{tc.counts}, nil)
			require.Len(t, s.Failures(), tc.want)
			require.Contains(t, s.Text(), "run twice")
		})
	}
}

// A target that was added during the run gets fewer flows than the others, which
// must not count as imbalance.
func TestImbalanceExcludesChangedTargets(t *testing.T) {
	feed := netip.MustParseAddrPort("198.51.100.10:443")
	counts := []upstream.Counts{
		{Target: "a", Service: feed, Opened: 10},
		{Target: "b", Service: feed, Opened: 30},
		{Target: "new", Service: feed, Opened: 1},
	}
	s := New(callers.Report{}, counts, []state.TargetID{"new"})
	require.Equal(t, []Imbalance{{Service: feed.String(), Targets: 2, Max: 30, Mean: 20}}, s.Imbalances)
	require.InDelta(t, 1.5, s.Imbalances[0].Ratio(), 1e-9)
}
