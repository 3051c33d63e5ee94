package control

import (
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/stretchr/testify/require"
)

// flowSteps are the states of a flow at which a fault starts, each with the host that
// the fault affects.
var flowSteps = []string{
	"SYN at the ingress host", "SYN at the first owner", "SYN at the second owner",
	"established, first owner", "established, second owner", "closing, first owner",
}

// backgroundFlows is the number of flows opened besides the traced one before the
// fault.
const backgroundFlows = 60

// flowScenario starts a fault at a step of one flow, with other flows open, while a
// release is made.
type flowScenario struct {
	scenario
	settings     traffic.Settings
	traffic      *trafficSimulation
	tracedCaller *caller
	// owners are the hosts that handled the traced flow's SYN as first and second owner.
	owners [2]*node
}

func (c *flowScenario) run(t *testing.T) []string {
	c.w = newRunningSimulation(t, c.seed, release.VariantCorrect, 3, 2, 2)
	c.traffic = newTrafficSimulation(c.w, c.settings)
	c.w.traffic = c.traffic
	c.w.platform.submit(addTargetNote("second", 1))
	c.w.runFor(5 * time.Second)
	c.tracedCaller = c.traffic.openFlow()
	c.traffic.onPacket = c.traceOpening
	for range backgroundFlows {
		c.traffic.openFlow()
	}
	c.w.runFor(2 * time.Second)
	c.startFaultOn("established, first owner", c.owners[0])
	c.startFaultOn("established, second owner", c.owners[1])
	if c.step == "closing, first owner" {
		c.tracedCaller.phase = traffic.KindFIN
		c.startFaultOn(c.step, c.owners[0])
	}
	c.w.platform.submit(addTargetNote("third", 2))
	for end := c.w.now.Add(c.length); c.w.now.Before(end); {
		c.w.runFor(200 * time.Millisecond)
		c.traffic.openFlow()
	}
	c.w.runFor(3 * maxCatchUpTime)
	for _, caller := range c.traffic.callers {
		if violation := caller.check(c.w.now); violation != "" {
			c.w.invariants.fail("%s", violation)
		}
	}
	if !c.started {
		c.w.invariants.fail("the step was not reached")
	}
	return c.w.invariants.violations
}

// startFaultOn starts the fault on a host if this is the step of the scenario.
func (c *flowScenario) startFaultOn(step string, n *node) {
	if !c.started && step == c.step && n != nil {
		c.chosenVictim = n
		c.startFaultAt(step)
	}
}

// traceOpening follows the SYN of the traced flow from host to host and starts the
// fault at the scenario's step.
func (c *flowScenario) traceOpening(n *node, p *traffic.Packet) {
	if p.Kind != traffic.KindSYN {
		return
	}
	if !p.Relayed {
		c.startFaultOn("SYN at the ingress host", n)
	}
	if p.Relayed && p.Relay.Kind == relay.KindOpening {
		c.owners[1] = n
		c.startFaultOn("SYN at the second owner", n)
		return
	}
	c.owners[0] = n
	if p.Relayed {
		c.startFaultOn("SYN at the first owner", n)
	}
}

func flowScenarios(seeds int, first uint64, severe bool) []*flowScenario {
	var scenarios []*flowScenario
	for seed := first; seed < first+uint64(seeds); seed++ {
		for _, step := range flowSteps {
			for _, length := range []time.Duration{2 * time.Second, 20 * time.Second} {
				for _, f := range faults {
					if f.severe != severe {
						continue
					}
					scenarios = append(scenarios, &flowScenario{scenario: scenario{
						step: step, faults: []fault{f}, role: "host at the step", length: length, seed: seed,
					}})
				}
			}
		}
	}
	return scenarios
}

// TestFlowMatrix starts every fault that is not severe at every step of a flow while a
// release is made, and checks that no flow of the run breaks.
func TestFlowMatrix(t *testing.T) { runFlowMatrix(t, false) }

// TestFlowMatrixHeavy runs the flow matrix with the severe faults: 30 % of all messages
// between hosts lost, or up to 2 s late, inside failure domains too.
func TestFlowMatrixHeavy(t *testing.T) { runFlowMatrix(t, true) }

func runFlowMatrix(t *testing.T, severe bool) {
	scenarios := flowScenarios(*matrixSeeds, *matrixFirst, severe)
	failures := collectFailures(scenarios, func(c *flowScenario) []string {
		broken := c.run(t)
		c.w = nil
		return broken
	})
	for _, failure := range failures {
		t.Error(failure)
	}
	t.Logf("scenarios %d, steps %d, seeds %d from %d, failures %d",
		len(scenarios), len(flowSteps), *matrixSeeds, *matrixFirst, len(failures))
}

// TestFlowMatrixDetectsSingleOwner checks that the matrix reports broken flows if hosts
// keep only one copy of each flow's record.
func TestFlowMatrixDetectsSingleOwner(t *testing.T) {
	c := &flowScenario{settings: traffic.Settings{SingleOwner: true}, scenario: scenario{
		step: "established, first owner", faults: []fault{faultNamed("host killed")},
		role: "host at the step", length: 2 * time.Second, seed: 1,
	}}
	require.NotEmpty(t, c.run(t))
}
