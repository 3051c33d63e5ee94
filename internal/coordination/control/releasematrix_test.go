package control

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/stretchr/testify/require"
)

var (
	matrixSeeds = flag.Int("matrix.seeds", 1, "seeds for each scenario of the fault matrices")
	matrixFirst = flag.Uint64("matrix.first", 1, "first seed of the fault matrices")
)

// scenario starts faults at a step of the release made from note "second". Faults that
// affect a single host affect the one with the role.
type scenario struct {
	step   string
	faults []fault
	role   string
	length time.Duration
	seed   uint64

	w           *simulation
	coordinator *node
	victim      *node
	// chosenVictim is the host that the fault affects; if nil, the role decides.
	chosenVictim *node
	started      bool
	faultEnd     time.Time
}

func (c *scenario) String() string {
	names := make([]string, 0, len(c.faults))
	for _, f := range c.faults {
		names = append(names, f.name)
	}
	return fmt.Sprintf("%s at %q, role %s, %s, seed %d", strings.Join(names, " and "), c.step, c.role, c.length, c.seed)
}

// releaseSteps are the states of a release at which a fault starts.
var releaseSteps = []string{
	"idle", "coordinator starts", "follower stages", "acceptance sent", "acceptance answered", "first in force", "in force reported",
}

// installHooks installs the hooks that start the fault at its step.
func (c *scenario) installHooks() {
	w := c.w
	w.onCall = func(n *node, call objects.Call) {
		staging := strings.HasPrefix(call.Key, objects.PrefixStaged+"second/")
		if staging && call.Verb == objects.VerbList && c.coordinator == nil {
			c.coordinator = n
			c.startFaultAt("coordinator starts")
		}
		if c.coordinator == nil || call.Verb != objects.VerbPut {
			return
		}
		other := n.host.Domain != c.coordinator.host.Domain
		switch {
		case staging && other:
			c.startFaultAt("follower stages")
		case call.Key == objects.KeyHead:
			c.startFaultAt("acceptance sent")
		case strings.HasPrefix(call.Key, objects.PrefixInForce) && other:
			c.startFaultAt("in force reported")
		}
	}
	w.onAnswer = func(n *node, call objects.Call, _ objects.Outcome) {
		if n == c.coordinator && call.Verb == objects.VerbPut && call.Key == objects.KeyHead {
			c.startFaultAt("acceptance answered")
		}
	}
	w.invariants.onInForce = func(n *node, version state.ReleaseVersion) {
		if version == 2 && n != c.coordinator && c.coordinator != nil {
			c.startFaultAt("first in force")
		}
	}
}

// startFaultAt starts the faults if this is the step of the scenario, and schedules
// their end.
func (c *scenario) startFaultAt(step string) {
	if c.started || step != c.step {
		return
	}
	c.started = true
	c.victim = c.pickVictim()
	c.faultEnd = c.w.now.Add(c.length)
	for _, f := range c.faults {
		f.begin(c)
	}
	c.w.at(c.faultEnd, func() {
		for _, f := range c.faults {
			if f.end != nil {
				f.end(c)
			}
		}
	})
}

// pickVictim returns the host with the role: the coordinator itself, a watcher of
// another domain (aggregator) or another host that is no watcher (follower). It returns
// the last host if no host has the role.
func (c *scenario) pickVictim() *node {
	if c.chosenVictim != nil {
		return c.chosenVictim
	}
	if c.coordinator == nil {
		c.coordinator = c.w.nodes[0]
	}
	if c.role == "coordinator" {
		return c.coordinator
	}
	for _, n := range c.w.nodes {
		watching := n.machine.release.IsWatcher(c.w.now)
		eligible := n.host.Domain != c.coordinator.host.Domain || !watching
		if n != c.coordinator && eligible && watching == (c.role == "aggregator") {
			return n
		}
	}
	return c.w.nodes[len(c.w.nodes)-1]
}

// run runs the scenario and returns the violations.
func (c *scenario) run(t *testing.T, variant release.Variant) []string {
	c.w = newRunningSimulation(t, c.seed, release.VariantCorrect, 3, 2, 2)
	for _, n := range c.w.nodes {
		n.machine.release.SetVariant(variant)
	}
	c.w.variant = variant
	c.installHooks()
	c.startFaultAt("idle")
	c.w.invariants.mayStopAdmitting = c.mayStopAdmitting
	c.w.platform.submit(addTargetNote("second", 1))
	c.w.runFor(max(noteDeadline, c.length) + 2*maxCatchUpTime)
	c.checkDecided()
	c.checkInForce()
	c.checkNextRelease()
	return c.w.invariants.violations
}

// checkDecided checks that the step was reached and the note was decided.
func (c *scenario) checkDecided() {
	if !c.started {
		c.w.invariants.fail("the step was not reached")
	}
	if _, ok := c.w.invariants.decided["second"]; !ok {
		c.w.invariants.fail("note second is still undecided")
	}
}

// checkInForce checks that an accepted note came into force on each host in time.
func (c *scenario) checkInForce() {
	p := &c.w.invariants
	accepted, ok := p.acceptedAt[2]
	if !ok {
		return
	}
	for _, n := range c.w.nodes {
		if !n.alive {
			continue
		}
		from := accepted
		if c.faultEnd.After(from) && c.exempt(n) {
			from = c.faultEnd
		}
		if n.bootedAt.After(from) {
			from = n.bootedAt
		}
		reached, ok := p.reachedAt[n.host.ID]
		if !ok || reached.Sub(from) > maxCatchUpTime {
			p.fail("%s had release 2 in force %s after acceptance or the end of its fault (reached %t)", n.host.ID, reached.Sub(from), ok)
		}
	}
}

// checkDrain checks that the draining target is leaving in the snapshots of all ready
// hosts that are not exempt.
func (c *scenario) checkDrain() {
	for _, n := range c.w.nodes {
		if n.alive && !c.exempt(n) && n.snapshot.Ready && !seesLeaving(n) {
			c.w.invariants.fail("%s still gives new flows to a draining target", n.host.ID)
		}
	}
}

// checkNextRelease checks that another release can still be made.
func (c *scenario) checkNextRelease() {
	head, _ := c.w.platform.head()
	c.w.platform.submit(addTargetNote("last", head.Version))
	done := c.w.runUntil(10*time.Second, func() bool { return c.w.inForceEverywhere(head.Version + 1) })
	if !done {
		c.w.invariants.fail("the next release is not in force")
	}
	c.w.runFor(time.Second)
}

func (c *scenario) exempt(n *node) bool {
	for _, f := range c.faults {
		if f.exempts != nil && f.exempts(c, n) {
			return true
		}
	}
	return false
}

// mayStopAdmitting reports whether a ready host may stop admitting flows: only one that
// a fault isolated, after the end of the fault.
func (c *scenario) mayStopAdmitting(n *node) bool {
	isolated := false
	for _, f := range c.faults {
		isolated = isolated || (f.isolates && f.exempts(c, n))
	}
	return c.started && isolated && !c.w.now.Before(c.faultEnd)
}

func releaseScenarios(seeds int, first uint64) []*scenario {
	var scenarios []*scenario
	for seed := first; seed < first+uint64(seeds); seed++ {
		for _, step := range releaseSteps {
			for _, length := range []time.Duration{2 * time.Second, 20 * time.Second} {
				for _, f := range faults {
					for _, role := range f.roles() {
						scenarios = append(scenarios, &scenario{step: step, faults: []fault{f}, role: role, length: length, seed: seed})
					}
				}
				for _, pair := range faultPairs() {
					scenarios = append(scenarios, &scenario{step: step, faults: pair, role: "coordinator", length: length, seed: seed})
				}
			}
		}
	}
	return scenarios
}

// TestReleaseMatrix starts every fault, and chosen pairs of faults, at every step of a
// release and checks the invariants during the run and afterwards.
func TestReleaseMatrix(t *testing.T) {
	scenarios := releaseScenarios(*matrixSeeds, *matrixFirst)
	failures := runScenarios(t, scenarios, release.VariantCorrect)
	t.Logf("scenarios %d, steps %d, faults %d, pairs %d, seeds %d from %d, failures %d",
		len(scenarios), len(releaseSteps), len(faults), len(faultPairs()), *matrixSeeds, *matrixFirst, len(failures))
	for _, failure := range failures {
		t.Error(failure)
	}
}

// TestReleaseMatrixDetectsBrokenVariants checks that the matrix reports violations by a
// release machine that breaks one rule.
func TestReleaseMatrixDetectsBrokenVariants(t *testing.T) {
	for name, variant := range map[string]release.Variant{
		"accepts after any domain has staged":  release.VariantAcceptAfterAnyDomain,
		"lets the version decrease":            release.VariantVersionDecreases,
		"writes refusals to a separate object": release.VariantSeparateRefusals,
		"writes the head unconditionally":      release.VariantUnconditionalWrite,
	} {
		t.Run(name, func(t *testing.T) {
			scenarios := releaseScenarios(1, 1)
			var failures []string
			count := 0
			for len(failures) == 0 && count < len(scenarios) {
				batch := scenarios[count:min(count+maxParallelScenarios, len(scenarios))]
				failures = runScenarios(t, batch, variant)
				count += len(batch)
			}
			require.NotEmpty(t, failures, "scenarios run: %d", count)
			t.Logf("detected within %d scenarios: %s", count, failures[0])
		})
	}
}

func runScenarios(t *testing.T, scenarios []*scenario, variant release.Variant) []string {
	return collectFailures(scenarios, func(c *scenario) []string {
		broken := c.run(t, variant)
		c.w = nil
		return broken
	})
}

// collectFailures runs scenarios in parallel and returns a line for each one with
// violations, in the order of the scenarios.
func collectFailures[C fmt.Stringer](scenarios []C, run func(C) []string) []string {
	results := make([][]string, len(scenarios))
	parallel(len(scenarios), func(i int) { results[i] = run(scenarios[i]) })
	var failures []string
	for i, broken := range results {
		if len(broken) > 0 {
			failures = append(failures, scenarios[i].String()+": "+strings.Join(broken, "; "))
		}
	}
	return failures
}
