package control

import (
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
)

// hostSteps are the state changes of a host that joins and of one that leaves.
var hostSteps = map[string][]string{
	"joins":  {"quiet", "booted", "seen by a peer", "knows the head", "ready"},
	"leaves": {"quiet", "announced", "seen leaving", "passing records on", "records passed on"},
}

// hostCell is a cell about one host that joins or leaves.
type hostCell struct {
	cell
	change  string
	subject *node
	asked   time.Time
	leaving bool
	ended   time.Time
}

func (c *hostCell) String() string { return "host " + c.change + ", " + c.cell.String() }

// choose picks the struck host: the subject, a watcher beside it or a stranger.
func (c *hostCell) choose() *node {
	for _, n := range c.w.nodes {
		beside := n.host.Domain == c.subject.host.Domain
		switch {
		case c.role == "driver" && n == c.subject,
			c.role == "aggregator" && n != c.subject && beside,
			c.role == "follower" && !beside:
			return n
		}
	}
	return c.subject
}

// strike begins the fault if its step has come.
func (c *hostCell) strike(step string) {
	if !c.begun && step == c.step {
		c.chosen = c.choose()
		c.reach(step)
	}
}

// watchSteps looks for the steps while time passes.
func (c *hostCell) watchSteps() {
	member := c.seenStatus()
	switch {
	case c.change == "joins" && c.subject.snapshot != nil && c.subject.snapshot.Ready:
		c.strike("ready")
	case c.change == "joins" && c.subject.alive && c.subject.core.release.Known().Version > 0:
		c.strike("knows the head")
	case c.change == "joins" && member != nil:
		c.strike("seen by a peer")
	case c.change == "leaves" && member != nil && member.Status == state.HostLeaving:
		c.strike("seen leaving")
	}
}

// seenStatus returns what some other host believes of the subject.
func (c *hostCell) seenStatus() *state.Member {
	for _, n := range c.w.nodes {
		if n == c.subject || n.snapshot == nil {
			continue
		}
		for _, member := range n.snapshot.View.Members {
			if member.ID == c.subject.host.ID {
				return &member
			}
		}
	}
	return nil
}

func (c *hostCell) play(t *testing.T) []string {
	c.w = newRunningSimulation(t, c.seed, release.VariantSound, 3, 2, 2)
	c.subject = c.w.nodes[1]
	if c.change == "joins" {
		c.w.kill(c.subject)
		c.w.runFor(40 * time.Second)
	}
	c.w.onAction = c.sawAction
	c.w.onHandedOver = func(*node) { c.strike("records passed on") }
	c.strike("quiet")
	if c.step == "quiet" {
		c.w.runFor(time.Second)
	}
	c.asked = c.w.now
	if c.change == "joins" {
		c.w.boot(c.subject)
		c.strike("booted")
	} else {
		c.w.deliver(c.subject, c.subject.incarnation, LeaveRequested{})
		c.strike("announced")
	}
	c.w.onStep = func(*node) {
		c.watchSteps()
		c.sawReady()
	}
	c.w.runFor(c.length + 2*maxCatchUpTime)
	if c.change == "leaves" && c.subject.alive {
		c.w.runFor(DefaultLeaveDeadline)
	}
	c.check()
	return c.w.invariants.violations
}

func (c *hostCell) sawAction(n *node, action Action) {
	if n != c.subject || c.change != "leaves" {
		return
	}
	switch act := action.(type) {
	case Publish:
		if c.leaving && !act.Snapshot.Leaving && n.incarnation == 1 {
			c.w.invariants.fail("the leaving host takes new work")
		}
		c.leaving = c.leaving || act.Snapshot.Leaving
	case HandOverRecords:
		c.strike("passing records on")
	case Stop:
		c.ended = c.w.now
	}
}

// sawReady notes when the joining host first admitted flows.
func (c *hostCell) sawReady() {
	if c.change == "joins" && c.ended.Before(c.subject.bootedAt) && c.subject.snapshot != nil && c.subject.snapshot.Ready {
		c.ended = c.w.now
	}
}

func (c *hostCell) check() {
	if !c.begun {
		c.w.invariants.fail("the step was not reached")
		return
	}
	from, limit := c.asked, maxCatchUpTime
	if c.change == "leaves" {
		limit = DefaultLeaveDeadline + time.Second
	}
	if c.excused(c.subject) && c.healed.After(from) {
		from = c.healed
	}
	restarted := c.change == "leaves" && c.subject.incarnation > 1
	if c.subject.alive == (c.change == "joins") && c.ended.Sub(from) > limit || c.unended(restarted) {
		c.w.invariants.fail("the change ended %s after its beginning or the return", c.ended.Sub(from))
	}
	if c.change == "joins" || restarted {
		return
	}
	for _, n := range c.w.nodes {
		for _, member := range n.snapshot.View.Members {
			if n.alive && member.ID == c.subject.host.ID && member.Status == state.HostAlive {
				c.w.invariants.fail("%s still counts on the host that left", n.host.ID)
			}
		}
	}
}

// unended tells that the change never came to its end though the host lives.
func (c *hostCell) unended(restarted bool) bool {
	return c.subject.alive && !restarted && c.ended.IsZero()
}

func hostCells(seeds int, first uint64) []*hostCell {
	var cells []*hostCell
	for seed := first; seed < first+uint64(seeds); seed++ {
		for _, change := range []string{"joins", "leaves"} {
			for _, step := range hostSteps[change] {
				for _, length := range []time.Duration{2 * time.Second, 20 * time.Second} {
					for _, f := range faults {
						for _, role := range f.roles() {
							cells = append(cells, &hostCell{change: change, cell: cell{
								step: step, faults: []fault{f}, role: role, length: length, seed: seed,
							}})
						}
					}
				}
			}
		}
	}
	return cells
}

// TestHostMatrix begins every fault at every step of a host that joins or
// leaves.
func TestHostMatrix(t *testing.T) {
	cells := hostCells(*matrixSeeds, *matrixFirst)
	failures := failuresOf(cells, func(c *hostCell) []string {
		broken := c.play(t)
		c.w = nil
		return broken
	})
	for _, failure := range failures {
		t.Error(failure)
	}
	t.Logf("cells %d, steps %d, faults %d, seeds %d from %d, failures %d",
		len(cells), len(hostSteps["joins"])+len(hostSteps["leaves"]), len(faults), *matrixSeeds, *matrixFirst, len(failures))
}
