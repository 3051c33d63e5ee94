package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// steadyPlan is a long flow.
var steadyPlan = Plan{Requests: 20, Pause: 2 * time.Second}

func TestSteadyState(t *testing.T) {
	for _, topology := range []Topology{Huaman, Hanbit} {
		b := Start(topology, 1, state.WayOwner, traffic.Settings{})
		b.Run(time.Second)
		b.Load(200, 10*time.Second, steadyPlan)
		b.Run(15 * time.Second)
		t.Logf("%s imbalance %.3f", topology.Name, b.Imbalance(b.Service(0).Number))
		b.Run(time.Minute)
		t.Logf("%+v", b.Counts)
		require.Zero(t, b.Counts.Broken)
	}
}
