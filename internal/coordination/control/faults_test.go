package control

import (
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// fault is a failure, or a race, that lasts for a limited time.
type fault struct {
	name string
	// targetsRole faults affect the host with the role of the scenario; others affect
	// all hosts.
	targetsRole bool
	begin       func(c *scenario)
	end         func(c *scenario)
	// exempts reports whether the fault keeps a host from catching up: its time limits
	// count from the end of the fault. nil exempts no host.
	exempts func(c *scenario, n *node) bool
	// isolates is set for faults that separate the exempt hosts from all other hosts
	// and the platform.
	isolates bool
	// severe faults are so strong that flows opened during them may break; the flow
	// matrix has a separate test for them.
	severe bool
}

func (f fault) roles() []string {
	if f.targetsRole {
		return []string{"coordinator", "aggregator", "follower"}
	}
	return []string{"any"}
}

func victimOnly(c *scenario, n *node) bool { return n == c.victim }

func victimDomain(c *scenario, n *node) bool { return n.host.Domain == c.victim.host.Domain }

func everyHost(*scenario, *node) bool { return true }

func restoreNetwork(c *scenario) { c.w.network = network{} }

func restorePlatform(c *scenario) {
	s := c.w.platform
	s.down, s.extraDelay, s.dropPutAnswers, s.unreachableFrom = false, 0, false, nil
}

func isolateFromHosts(c *scenario) { c.w.network.blocked = isolate(c.victim.host.Domain) }

func isolateFromPlatform(c *scenario) {
	c.w.platform.unreachableFrom = []state.DomainID{c.victim.host.Domain}
}

func listHosts(c *scenario, hosts []state.Host) {
	list := objects.HostList{}
	for _, host := range hosts {
		list.Hosts = append(list.Hosts, objects.ListedHost{Host: host})
	}
	c.w.platform.put(objects.KeyHosts, c.w.platform.objects[objects.KeyHosts].Version, mustEncode(list))
}

var faults = []fault{
	{name: "host killed", targetsRole: true, begin: func(c *scenario) { c.w.kill(c.victim) }},
	{
		name: "host restarted without state", targetsRole: true, exempts: victimOnly,
		begin: func(c *scenario) { c.w.kill(c.victim) },
		end:   func(c *scenario) { c.w.boot(c.victim) },
	},
	{
		name: "host paused", targetsRole: true, isolates: true, exempts: victimOnly,
		begin: func(c *scenario) { c.victim.paused = true },
		end:   func(c *scenario) { c.w.resume(c.victim) },
	},
	{
		name: "host leaving", targetsRole: true, exempts: victimOnly,
		begin: func(c *scenario) {
			victim, run := c.victim, c.victim.run
			c.w.after(0, func() { c.w.deliver(victim, run, LeaveRequested{}) })
		},
	},
	{name: "domain isolated from the other hosts", targetsRole: true, begin: isolateFromHosts, end: restoreNetwork},
	{name: "domain isolated from the platform", targetsRole: true, begin: isolateFromPlatform, end: restorePlatform},
	{
		name: "domain isolated from hosts and platform", targetsRole: true, isolates: true, exempts: victimDomain,
		begin: func(c *scenario) { isolateFromHosts(c); isolateFromPlatform(c) },
		end:   func(c *scenario) { restoreNetwork(c); restorePlatform(c) },
	},
	{
		name: "domain receives nothing from others", targetsRole: true, end: restoreNetwork,
		begin: func(c *scenario) {
			domain := c.victim.host.Domain
			c.w.network.blocked = func(from, to state.DomainID) bool { return from != to && to == domain }
		},
	},
	{
		name: "nothing from domain received by others", targetsRole: true, end: restoreNetwork,
		begin: func(c *scenario) {
			domain := c.victim.host.Domain
			c.w.network.blocked = func(from, to state.DomainID) bool { return from != to && from == domain }
		},
	},
	{
		name: "platform down", exempts: everyHost, end: restorePlatform,
		begin: func(c *scenario) { c.w.platform.down = true },
	},
	{name: "platform slow", end: restorePlatform, begin: func(c *scenario) { c.w.platform.extraDelay = 600 * time.Millisecond }},
	{name: "answers lost after the write", end: restorePlatform, begin: func(c *scenario) { c.w.platform.dropPutAnswers = true }},
	{name: "30 % of messages lost", severe: true, end: restoreNetwork, begin: func(c *scenario) { c.w.network.lossRate = 0.3 }},
	{name: "10 % of messages lost", end: restoreNetwork, begin: func(c *scenario) { c.w.network.lossRate = 0.1 }},
	{
		name: "messages up to 200 ms late and reordered", end: restoreNetwork,
		begin: func(c *scenario) { c.w.network.maxExtraDelay = 200 * time.Millisecond },
	},
	{name: "messages duplicated", end: restoreNetwork, begin: func(c *scenario) { c.w.network.duplicationRate = 0.5 }},
	{
		name: "messages up to 2 s late and reordered", severe: true, exempts: everyHost, end: restoreNetwork,
		begin: func(c *scenario) { c.w.network.maxExtraDelay = 2 * time.Second },
	},
	{
		name: "concurrent operator", begin: func(c *scenario) {
			c.w.after(0, func() { c.w.platform.submit(addTargetNote("rival", 1)) })
		},
	},
	{
		name: "host list has only unknown hosts", begin: func(c *scenario) {
			listHosts(c, []state.Host{testHost(0, 8), testHost(1, 8), testHost(2, 8)})
		},
	},
	{name: "target drains", begin: func(c *scenario) {
		putLoads(c.w, true, 0.5)
		c.w.after(maxDrainDelay, c.checkDrain)
	}},
	{name: "host list is empty", begin: func(c *scenario) { listHosts(c, nil) }},
}

func faultNamed(name string) fault {
	index := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
	return faults[index]
}

// faultPairs returns pairs of faults that occur together.
func faultPairs() [][]fault {
	var pairs [][]fault
	for _, names := range [][2]string{
		{"answers lost after the write", "host killed"},
		{"answers lost after the write", "host paused"},
		{"answers lost after the write", "concurrent operator"},
		{"answers lost after the write", "domain isolated from the other hosts"},
		{"platform down", "host restarted without state"},
		{"platform down", "host killed"},
		{"platform slow", "30 % of messages lost"},
		{"platform slow", "host paused"},
		{"30 % of messages lost", "host restarted without state"},
		{"messages duplicated", "messages up to 2 s late and reordered"},
		{"domain isolated from hosts and platform", "host paused"},
		{"domain isolated from hosts and platform", "concurrent operator"},
		{"host leaving", "platform down"},
		{"host leaving", "30 % of messages lost"},
		{"target drains", "30 % of messages lost"},
		{"target drains", "host killed"},
		{"target drains", "host paused"},
		{"target drains", "domain isolated from the other hosts"},
		{"target drains", "host restarted without state"},
		{"host list has only unknown hosts", "domain isolated from the other hosts"},
	} {
		pairs = append(pairs, []fault{faultNamed(names[0]), faultNamed(names[1])})
	}
	return pairs
}

// maxParallelScenarios is the maximum number of scenarios that run at once.
const maxParallelScenarios = 4

func parallel(count int, run func(i int)) {
	work := make(chan int)
	var wg sync.WaitGroup
	for range min(maxParallelScenarios, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := range work {
				run(i)
			}
		})
	}
	for i := range count {
		work <- i
	}
	close(work)
	wg.Wait()
}
