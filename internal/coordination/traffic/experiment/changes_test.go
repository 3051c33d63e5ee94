package experiment

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// change is an operation or fault that is applied to the installation under load.
type change struct {
	name  string
	apply func(sim *Simulation)
}

// Planned changes, a host crash and no change.
var (
	releaseChange = change{"release", func(sim *Simulation) {
		sim.BeginRelease()
		sim.AddTarget(0, domainID(1))
		sim.AddTarget(0, domainID(0))
		sim.WithdrawTarget(0, 3)
		sim.Publish()
	}}
	drainTarget = change{"target drain", func(sim *Simulation) {
		sim.BeginRelease()
		sim.DrainTarget(0, 5)
		sim.Publish()
	}}
	drainHost = change{"host drain", func(sim *Simulation) { sim.DrainHost(1) }}
	joinHost  = change{"host join", func(sim *Simulation) { sim.JoinHost(domainID(0)) }}
	killHost  = change{"host kill", func(sim *Simulation) { sim.KillHost(0) }}
	noChange  = change{"nothing", func(*Simulation) {}}
)

// runChanges applies the first change 8 s into a load of long flows, the second
// up to 1 s later, and runs for 90 s in all.
func runChanges(topology Topology, seed uint64, mode state.ForwardingMode, settings traffic.Settings, changes ...change) *Simulation {
	sim := Start(topology, seed, mode, settings)
	sim.Run(time.Minute)
	sim.OpenFlows(60, 20*time.Second, FlowPlan{Requests: 15, Pause: 2 * time.Second})
	for i, c := range changes {
		sim.AfterFunc(8*time.Second+time.Duration(i)*sim.randomUpTo(time.Second), func() { c.apply(sim) })
	}
	sim.Run(90 * time.Second)
	return sim
}

// requireNoViolations requires that flows were opened and that none was broken,
// misrouted, split over two targets, refused after it reached a target, or
// opened at a target that had been draining for longer than drainGrace.
func requireNoViolations(t require.TestingT, sim *Simulation, name string) {
	require.NotZero(t, sim.Counts.Opened, name)
	require.Zero(t, sim.Counts.Broken, name)
	require.Zero(t, sim.Counts.WrongService, name)
	require.Zero(t, sim.Counts.TwoTargets, name)
	require.Zero(t, sim.Counts.RefusedAtTarget, name)
	require.Zero(t, sim.Counts.LateOpenings, name)
}

// Two planned changes that overlap must not break a flow.
func TestPlannedChangesBreakNoFlow(t *testing.T) {
	planned := []change{releaseChange, drainTarget, drainHost, joinHost}
	for _, topology := range []Topology{Huaman, Hanbit} {
		for i, first := range planned {
			for _, second := range planned[i:] {
				name := topology.Name + " " + first.name + " + " + second.name
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					for seed := range seeds() {
						sim := runChanges(topology, seed, state.ForwardByOwner, traffic.Settings{}, first, second)
						t.Logf("seed %d: %v", seed, sim.Counts)
						requireNoViolations(t, sim, name)
					}
				})
			}
		}
	}
}

// seeds returns the number of seeds that each test runs: GUAVA_SEEDS, by default 1.
func seeds() uint64 {
	n, err := strconv.ParseUint(os.Getenv("GUAVA_SEEDS"), 10, 16)
	if err != nil {
		return 1
	}
	return n
}

// Flows must survive the crash of a host while another change takes effect.
func TestHostKilledDuringRelease(t *testing.T) {
	for _, topology := range []Topology{Huaman, Hanbit} {
		for _, second := range []change{noChange, releaseChange, drainTarget, drainHost, joinHost} {
			name := topology.Name + " host kill + " + second.name
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				for seed := range seeds() {
					sim := runChanges(topology, seed, state.ForwardByOwner, traffic.Settings{}, killHost, second)
					t.Logf("seed %d: %v", seed, sim.Counts)
					requireNoViolations(t, sim, name)
				}
			})
		}
	}
}

func TestDatagramFlows(t *testing.T) {
	for _, topology := range []Topology{Huaman, Hanbit} {
		topology.Protocol = state.UDP
		for _, c := range []change{releaseChange, drainTarget, drainHost, joinHost, killHost} {
			name := topology.Name + " " + c.name
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				for seed := range seeds() {
					sim := runChanges(topology, seed, state.ForwardByOwner, traffic.Settings{}, c)
					t.Logf("seed %d: %v", seed, sim.Counts)
					requireNoViolations(t, sim, name)
				}
			})
		}
	}
}

// killOnlyHost kills the only host of the last failure domain of Hanbit.
var killOnlyHost = change{"single host kill", func(sim *Simulation) { sim.KillHost(6) }}

func TestOnlyHostOfDomainKilled(t *testing.T) {
	for seed := range seeds() {
		sim := runChanges(Hanbit, seed, state.ForwardByOwner, traffic.Settings{}, killOnlyHost, releaseChange)
		t.Logf("seed %d: %v", seed, sim.Counts)
		requireNoViolations(t, sim, "hanbit")
	}
}

// While a failure domain is partitioned, flows may break, but no packet may reach
// a wrong service and no refused flow may reach a target.
func TestPartitionHeals(t *testing.T) {
	for _, topology := range []Topology{Huaman, Hanbit} {
		for _, length := range []time.Duration{2 * time.Second, 6 * time.Second, 20 * time.Second} {
			cut := change{"domain cut off", func(sim *Simulation) { sim.PartitionDomain(domainID(1), length) }}
			for seed := range seeds() {
				sim := runChanges(topology, seed, state.ForwardByOwner, traffic.Settings{}, cut)
				t.Logf("%s, %v, seed %d: %v", topology.Name, length, seed, sim.Counts)
				require.Zero(t, sim.Counts.WrongService)
				require.Zero(t, sim.Counts.RefusedAtTarget)
			}
		}
	}
}

// An opening that an overloaded host refuses must not also be forwarded to a
// target: the target would serve a flow whose client was refused.
func TestRefusedOpeningsReachNoTarget(t *testing.T) {
	overloaded := traffic.Settings{NewFlowRate: 10, MaxRecords: 400}
	for _, topology := range []Topology{Huaman, Hanbit} {
		for _, c := range []change{releaseChange, drainHost, joinHost, killHost} {
			for seed := range seeds() {
				sim := runChanges(topology, seed, state.ForwardByOwner, overloaded, c, releaseChange)
				t.Logf("%s, %s, seed %d: %v", topology.Name, c.name, seed, sim.Counts)
				require.NotZero(t, sim.Counts.Refused)
				requireNoViolations(t, sim, topology.Name+" "+c.name)
			}
		}
	}
}

// With records at one owner only, the crash of that owner breaks flows. The test
// shows that the second copy is needed.
func TestSingleOwnerBreaksFlows(t *testing.T) {
	sim := runChanges(Huaman, 1, state.ForwardByOwner, traffic.Settings{SingleOwner: true}, killHost, releaseChange)
	t.Logf("%v", sim.Counts)
	require.NotZero(t, sim.Counts.Broken)
}
