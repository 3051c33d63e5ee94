package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// maxImbalance bounds the open flows of the busiest target over the mean. It holds
// at 200 or more open flows per target.
const maxImbalance = 1.10

// variant is a combination of forwarding mode and placement settings.
type variant struct {
	name     string
	mode     state.ForwardingMode
	settings traffic.Settings
}

// variants are the combinations that the tests compare.
var variants = []variant{
	{"A hash", state.ForwardByHash, traffic.Settings{}},
	{"B default", state.ForwardByOwner, traffic.Settings{}},
	{"B bounded 1.01", state.ForwardByOwner, traffic.Settings{LoadBoundMilli: 1010}},
	{"B bounded 1.05", state.ForwardByOwner, traffic.Settings{LoadBoundMilli: 1050}},
	{"B bounded 1.10", state.ForwardByOwner, traffic.Settings{LoadBoundMilli: 1100}},
	{"B bounded 1.25", state.ForwardByOwner, traffic.Settings{LoadBoundMilli: 1250}},
	{"B plain Maglev", state.ForwardByOwner, traffic.Settings{Placement: traffic.PlaceHash}},
	{"B two choices", state.ForwardByOwner, traffic.Settings{Placement: traffic.PlaceTwoChoices}},
}

// imbalances runs a variant in steady state and returns the mean and the worst
// imbalance of the large service over the seeds.
func imbalances(topology Topology, v variant, perTarget int) (mean, worst float64) {
	n := 0.0
	for seed := range seeds() {
		sim := Start(topology, seed, v.mode, v.settings)
		sim.Run(5 * time.Second)
		sim.OpenFlows(perTarget, 10*time.Second, FlowPlan{Requests: 1, Pause: time.Hour})
		sim.Run(20 * time.Second)
		imbalance := sim.Imbalance(sim.Service(0).Number)
		mean += imbalance
		worst = max(worst, imbalance)
		n++
	}
	return mean / n, worst
}

// flowsPerTarget returns the numbers of open flows per target to test. The larger
// one is tested only if GUAVA_SEEDS asks for more than one seed.
func flowsPerTarget() []int {
	if seeds() == 1 {
		return []int{200}
	}
	return []int{200, 1000}
}

func TestImbalance(t *testing.T) {
	for _, topology := range []Topology{Huaman, Hanbit} {
		for _, perTarget := range flowsPerTarget() {
			worst := make(map[string]float64)
			for _, v := range variants {
				mean, worstOfVariant := imbalances(topology, v, perTarget)
				worst[v.name] = worstOfVariant
				t.Logf("%s, %d flows per target, %s: mean %.3f worst %.3f", topology.Name, perTarget, v.name, mean, worstOfVariant)
			}
			require.LessOrEqual(t, worst["B default"], maxImbalance)
			require.Less(t, worst["B default"], worst["A hash"])
		}
	}
}

// Without flow records, a release that changes the targets breaks flows. The test
// shows that the records are needed.
func TestHashAloneBreaksFlows(t *testing.T) {
	sim := runChanges(Huaman, 1, state.ForwardByHash, traffic.Settings{}, releaseChange)
	t.Logf("%v", sim.Counts)
	require.NotZero(t, sim.Counts.Broken)
}

// killTwoHosts crashes two hosts at once: both hosts of the second failure domain
// of Huaman, but hosts of two different domains of Hanbit.
var killTwoHosts = change{"two hosts killed", func(sim *Simulation) {
	sim.KillHost(3)
	sim.KillHost(4)
}}

// If both owners of a flow crash at once, its record is lost. Fewer than a third
// of all flows may break: those owned by the two hosts.
func TestBothOwnersKilled(t *testing.T) {
	for _, topology := range []Topology{Huaman, Hanbit} {
		for _, v := range variants {
			broken, opened := 0, 0
			for seed := range seeds() {
				sim := runChanges(topology, seed, v.mode, v.settings, killTwoHosts)
				broken += sim.Counts.Broken
				opened += sim.Counts.Opened
			}
			t.Logf("%s, %s: %d of %d broken", topology.Name, v.name, broken, opened)
			require.Less(t, broken, opened/3, "only flows owned by the two hosts may break")
		}
	}
}
