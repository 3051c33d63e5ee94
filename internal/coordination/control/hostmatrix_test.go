package control

import (
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
)

// hostSteps are the states of a joining and of a leaving host at which a fault starts.
var hostSteps = map[string][]string{
	"joins":  {"idle", "booted", "seen by a peer", "knows the head", "ready"},
	"leaves": {"idle", "announced", "seen leaving", "handing records over", "records handed over"},
}

// hostScenario starts a fault at a step of one host that joins or leaves.
type hostScenario struct {
	scenario
	change           string
	changingHost     *node
	changeStart      time.Time
	leavingPublished bool
	changeEnd        time.Time
}

func (c *hostScenario) String() string { return "host " + c.change + ", " + c.scenario.String() }

// chooseVictim returns the host that the fault affects: the changing host, another
// host of its domain or a host of another domain, by role.
func (c *hostScenario) chooseVictim() *node {
	for _, n := range c.w.nodes {
		beside := n.host.Domain == c.changingHost.host.Domain
		switch {
		case c.role == "coordinator" && n == c.changingHost,
			c.role == "aggregator" && n != c.changingHost && beside,
			c.role == "follower" && !beside:
			return n
		}
	}
	return c.changingHost
}

// startFaultOn starts the fault if this is the step of the scenario.
func (c *hostScenario) startFaultOn(step string) {
	if !c.started && step == c.step {
		c.chosenVictim = c.chooseVictim()
		c.startFaultAt(step)
	}
}

// detectSteps starts the fault if the state of the hosts shows the step.
func (c *hostScenario) detectSteps() {
	member := c.memberAtOtherHost()
	switch {
	case c.change == "joins" && c.changingHost.snapshot != nil && c.changingHost.snapshot.Ready:
		c.startFaultOn("ready")
	case c.change == "joins" && c.changingHost.alive && c.changingHost.machine.release.KnownHead().Version > 0:
		c.startFaultOn("knows the head")
	case c.change == "joins" && member != nil:
		c.startFaultOn("seen by a peer")
	case c.change == "leaves" && member != nil && member.Status == state.HostLeaving:
		c.startFaultOn("seen leaving")
	}
}

// memberAtOtherHost returns the changing host as another host sees it, nil if unknown.
func (c *hostScenario) memberAtOtherHost() *state.Member {
	for _, n := range c.w.nodes {
		if n == c.changingHost || n.snapshot == nil {
			continue
		}
		for _, member := range n.snapshot.View.Members {
			if member.ID == c.changingHost.host.ID {
				return &member
			}
		}
	}
	return nil
}

func (c *hostScenario) run(t *testing.T) []string {
	c.w = newRunningSimulation(t, c.seed, release.VariantCorrect, 3, 2, 2)
	c.changingHost = c.w.nodes[1]
	if c.change == "joins" {
		c.w.kill(c.changingHost)
		c.w.runFor(40 * time.Second)
	}
	c.w.onAction = c.observeAction
	c.w.onHandedOver = func(*node) { c.startFaultOn("records handed over") }
	c.startFaultOn("idle")
	if c.step == "idle" {
		c.w.runFor(time.Second)
	}
	c.changeStart = c.w.now
	if c.change == "joins" {
		c.w.boot(c.changingHost)
		c.startFaultOn("booted")
	} else {
		c.w.deliver(c.changingHost, c.changingHost.run, LeaveRequested{})
		c.startFaultOn("announced")
	}
	c.w.onStep = func(*node) {
		c.detectSteps()
		c.recordReady()
	}
	c.w.runFor(c.length + 2*maxCatchUpTime)
	if c.change == "leaves" && c.changingHost.alive {
		c.w.runFor(DefaultLeaveDeadline)
	}
	c.check()
	return c.w.invariants.violations
}

func (c *hostScenario) observeAction(n *node, action Action) {
	if n != c.changingHost || c.change != "leaves" {
		return
	}
	switch act := action.(type) {
	case Publish:
		if c.leavingPublished && !act.Snapshot.Leaving && n.run == 1 {
			c.w.invariants.fail("the leaving host admits new flows again")
		}
		c.leavingPublished = c.leavingPublished || act.Snapshot.Leaving
	case HandOverRecords:
		c.startFaultOn("handing records over")
	case Stop:
		c.changeEnd = c.w.now
	}
}

// recordReady records when the joining host first admitted flows.
func (c *hostScenario) recordReady() {
	if c.change == "joins" && c.changeEnd.Before(c.changingHost.bootedAt) && c.changingHost.snapshot != nil && c.changingHost.snapshot.Ready {
		c.changeEnd = c.w.now
	}
}

func (c *hostScenario) check() {
	if !c.started {
		c.w.invariants.fail("the step was not reached")
		return
	}
	from, limit := c.changeStart, maxCatchUpTime
	if c.change == "leaves" {
		limit = DefaultLeaveDeadline + time.Second
	}
	if c.exempt(c.changingHost) && c.faultEnd.After(from) {
		from = c.faultEnd
	}
	restarted := c.change == "leaves" && c.changingHost.run > 1
	if c.changingHost.alive == (c.change == "joins") && c.changeEnd.Sub(from) > limit || c.unfinished(restarted) {
		c.w.invariants.fail("the change completed %s after its start or the end of the fault", c.changeEnd.Sub(from))
	}
	if c.change == "joins" || restarted {
		return
	}
	for _, n := range c.w.nodes {
		for _, member := range n.snapshot.View.Members {
			if n.alive && member.ID == c.changingHost.host.ID && member.Status == state.HostAlive {
				c.w.invariants.fail("%s still lists the departed host as alive", n.host.ID)
			}
		}
	}
}

// unfinished reports whether the change was never completed though the host is alive.
func (c *hostScenario) unfinished(restarted bool) bool {
	return c.changingHost.alive && !restarted && c.changeEnd.IsZero()
}

func hostScenarios(seeds int, first uint64) []*hostScenario {
	var scenarios []*hostScenario
	for seed := first; seed < first+uint64(seeds); seed++ {
		for _, change := range []string{"joins", "leaves"} {
			for _, step := range hostSteps[change] {
				for _, length := range []time.Duration{2 * time.Second, 20 * time.Second} {
					for _, f := range faults {
						for _, role := range f.roles() {
							scenarios = append(scenarios, &hostScenario{change: change, scenario: scenario{
								step: step, faults: []fault{f}, role: role, length: length, seed: seed,
							}})
						}
					}
				}
			}
		}
	}
	return scenarios
}

// TestHostMatrix starts every fault at every step of a host that joins or leaves and
// checks that the change completes in time.
func TestHostMatrix(t *testing.T) {
	scenarios := hostScenarios(*matrixSeeds, *matrixFirst)
	failures := collectFailures(scenarios, func(c *hostScenario) []string {
		broken := c.run(t)
		c.w = nil
		return broken
	})
	for _, failure := range failures {
		t.Error(failure)
	}
	t.Logf("scenarios %d, steps %d, faults %d, seeds %d from %d, failures %d",
		len(scenarios), len(hostSteps["joins"])+len(hostSteps["leaves"]), len(faults), *matrixSeeds, *matrixFirst, len(failures))
}
