package control

import (
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/stretchr/testify/require"
)

// flowSteps are the state changes of a flow; the fault strikes the host that
// the step names.
var flowSteps = []string{
	"opening at the ingress host", "opening at the first owner", "opening at the second owner",
	"established, first owner", "established, second owner", "closing, first owner",
}

// background is how many flows are open besides the one that the steps follow.
const background = 60

// flowCell is a cell about one flow, among others, during a release.
type flowCell struct {
	cell
	settings traffic.Settings
	flows    *traffics
	first    *caller
	// owners are the hosts that handled the opening as first and second owner.
	owners [2]*node
}

func (c *flowCell) play(t *testing.T) []string {
	c.w = newRunningSimulation(t, c.seed, release.VariantSound, 3, 2, 2)
	c.flows = newTraffics(c.w, c.settings)
	c.w.traffic = c.flows
	c.w.platform.submit(addTargetNote("second", 1))
	c.w.runFor(5 * time.Second)
	c.first = c.flows.call()
	c.flows.onPacket = c.sawPacket
	for range background {
		c.flows.call()
	}
	c.w.runFor(2 * time.Second)
	c.strike("established, first owner", c.owners[0])
	c.strike("established, second owner", c.owners[1])
	if c.step == "closing, first owner" {
		c.first.phase = traffic.KindClosing
		c.strike(c.step, c.owners[0])
	}
	c.w.platform.submit(addTargetNote("third", 2))
	for end := c.w.now.Add(c.length); c.w.now.Before(end); {
		c.w.runFor(200 * time.Millisecond)
		c.flows.call()
	}
	c.w.runFor(3 * maxCatchUpTime)
	for _, caller := range c.flows.callers {
		if broken := caller.check(c.w.now); broken != "" {
			c.w.invariants.fail("%s", broken)
		}
	}
	if !c.begun {
		c.w.invariants.fail("the step was not reached")
	}
	return c.w.invariants.violations
}

// strike begins the fault at a host if its step has come.
func (c *flowCell) strike(step string, n *node) {
	if !c.begun && step == c.step && n != nil {
		c.chosen = n
		c.reach(step)
	}
}

// sawPacket follows the opening of the first flow along its hosts.
func (c *flowCell) sawPacket(n *node, p *traffic.Packet) {
	if p.Kind != traffic.KindOpening {
		return
	}
	if !p.Relayed {
		c.strike("opening at the ingress host", n)
	}
	if p.Relayed && p.Relay.Kind == relay.KindOpening {
		c.owners[1] = n
		c.strike("opening at the second owner", n)
		return
	}
	c.owners[0] = n
	if p.Relayed {
		c.strike("opening at the first owner", n)
	}
}

func flowCells(seeds int, first uint64, heavy bool) []*flowCell {
	var cells []*flowCell
	for seed := first; seed < first+uint64(seeds); seed++ {
		for _, step := range flowSteps {
			for _, length := range []time.Duration{2 * time.Second, 20 * time.Second} {
				for _, f := range faults {
					if f.heavy != heavy {
						continue
					}
					cells = append(cells, &flowCell{cell: cell{
						step: step, faults: []fault{f}, role: "there", length: length, seed: seed,
					}})
				}
			}
		}
	}
	return cells
}

// TestFlowMatrix begins every fault at every step of a flow while a release is
// made, and checks all flows of the run.
func TestFlowMatrix(t *testing.T) { playFlows(t, false) }

// TestFlowMatrixHeavy does so with 30 % of all messages between hosts lost, or
// up to 2 s late, inside failure domains too.
func TestFlowMatrixHeavy(t *testing.T) { playFlows(t, true) }

func playFlows(t *testing.T, heavy bool) {
	cells := flowCells(*matrixSeeds, *matrixFirst, heavy)
	failures := failuresOf(cells, func(c *flowCell) []string {
		broken := c.play(t)
		c.w = nil
		return broken
	})
	for _, failure := range failures {
		t.Error(failure)
	}
	t.Logf("cells %d, steps %d, seeds %d from %d, failures %d",
		len(cells), len(flowSteps), *matrixSeeds, *matrixFirst, len(failures))
}

// TestFlowMatrixCatchesASingleOwner shows that the checks notice hosts that keep
// each flow's record once.
func TestFlowMatrixCatchesASingleOwner(t *testing.T) {
	c := &flowCell{settings: traffic.Settings{SingleOwner: true}, cell: cell{
		step: "established, first owner", faults: []fault{faultNamed("host killed")},
		role: "there", length: 2 * time.Second, seed: 1,
	}}
	require.NotEmpty(t, c.play(t))
}
