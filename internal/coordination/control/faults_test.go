package control

import (
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// fault is something that goes wrong for a while.
type fault struct {
	name string
	// atHost faults strike the host that plays a role; others strike all.
	atHost bool
	begin  func(c *cell)
	end    func(c *cell)
	// excuses tells which hosts are not connected while the fault lasts.
	excuses func(c *cell, n *node) bool
	// away faults keep the excused hosts from all others and the platform.
	away bool
	// heavy faults are so strong that flows opened meanwhile have tests of their
	// own.
	heavy bool
}

func (f fault) roles() []string {
	if f.atHost {
		return []string{"driver", "aggregator", "follower"}
	}
	return []string{"any"}
}

func victimOnly(c *cell, n *node) bool { return n == c.victim }

func victimDomain(c *cell, n *node) bool { return n.host.Domain == c.victim.host.Domain }

func everyHost(*cell, *node) bool { return true }

func healLink(c *cell) { c.w.network = network{} }

func healStore(c *cell) {
	s := c.w.platform
	s.down, s.extraDelay, s.dropPutAnswers, s.unreachableFrom = false, 0, false, nil
}

func cutLink(c *cell) { c.w.network.blocked = isolate(c.victim.host.Domain) }

func cutStore(c *cell) { c.w.platform.unreachableFrom = []state.DomainID{c.victim.host.Domain} }

func listHosts(c *cell, hosts []state.Host) {
	list := objects.HostList{}
	for _, host := range hosts {
		list.Hosts = append(list.Hosts, objects.ListedHost{Host: host})
	}
	c.w.platform.put(objects.KeyHosts, c.w.platform.objects[objects.KeyHosts].Version, mustEncode(list))
}

var faults = []fault{
	{name: "host killed", atHost: true, begin: func(c *cell) { c.w.kill(c.victim) }},
	{
		name: "host restarted with nothing", atHost: true, excuses: victimOnly,
		begin: func(c *cell) { c.w.kill(c.victim) },
		end:   func(c *cell) { c.w.boot(c.victim) },
	},
	{
		name: "host paused", atHost: true, away: true, excuses: victimOnly,
		begin: func(c *cell) { c.victim.paused = true },
		end:   func(c *cell) { c.w.resume(c.victim) },
	},
	{
		name: "host leaving", atHost: true, excuses: victimOnly,
		begin: func(c *cell) {
			victim, run := c.victim, c.victim.incarnation
			c.w.after(0, func() { c.w.deliver(victim, run, LeaveRequested{}) })
		},
	},
	{name: "domain cut off from the others", atHost: true, begin: cutLink, end: healLink},
	{name: "domain cut off from the platform", atHost: true, begin: cutStore, end: healStore},
	{
		name: "domain cut off from both", atHost: true, away: true, excuses: victimDomain,
		begin: func(c *cell) { cutLink(c); cutStore(c) },
		end:   func(c *cell) { healLink(c); healStore(c) },
	},
	{
		name: "domain hears no other", atHost: true, end: healLink,
		begin: func(c *cell) {
			domain := c.victim.host.Domain
			c.w.network.blocked = func(from, to state.DomainID) bool { return from != to && to == domain }
		},
	},
	{
		name: "domain heard by no other", atHost: true, end: healLink,
		begin: func(c *cell) {
			domain := c.victim.host.Domain
			c.w.network.blocked = func(from, to state.DomainID) bool { return from != to && from == domain }
		},
	},
	{
		name: "platform down", excuses: everyHost, end: healStore,
		begin: func(c *cell) { c.w.platform.down = true },
	},
	{name: "platform slow", end: healStore, begin: func(c *cell) { c.w.platform.extraDelay = 600 * time.Millisecond }},
	{name: "answers lost after the write", end: healStore, begin: func(c *cell) { c.w.platform.dropPutAnswers = true }},
	{name: "messages lost", heavy: true, end: healLink, begin: func(c *cell) { c.w.network.lossRate = 0.3 }},
	{name: "some messages lost", end: healLink, begin: func(c *cell) { c.w.network.lossRate = 0.1 }},
	{
		name: "messages a little late and reordered", end: healLink,
		begin: func(c *cell) { c.w.network.maxExtraDelay = 200 * time.Millisecond },
	},
	{name: "messages duplicated", end: healLink, begin: func(c *cell) { c.w.network.duplicationRate = 0.5 }},
	{
		name: "messages delayed and reordered", heavy: true, excuses: everyHost, end: healLink,
		begin: func(c *cell) { c.w.network.maxExtraDelay = 2 * time.Second },
	},
	{
		name: "racing operator", begin: func(c *cell) {
			c.w.after(0, func() { c.w.platform.submit(addTargetNote("rival", 1)) })
		},
	},
	{
		name: "host list names the dead", begin: func(c *cell) {
			listHosts(c, []state.Host{testHost(0, 8), testHost(1, 8), testHost(2, 8)})
		},
	},
	{name: "target drains", begin: func(c *cell) {
		putLoads(c.w, true, 0.5)
		c.w.after(maxDrainDelay, c.checkDrain)
	}},
	{name: "host list is empty", begin: func(c *cell) { listHosts(c, nil) }},
}

func faultNamed(name string) fault {
	index := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
	return faults[index]
}

// faultPairs are faults that come together.
func faultPairs() [][]fault {
	var pairs [][]fault
	for _, names := range [][2]string{
		{"answers lost after the write", "host killed"},
		{"answers lost after the write", "host paused"},
		{"answers lost after the write", "racing operator"},
		{"answers lost after the write", "domain cut off from the others"},
		{"platform down", "host restarted with nothing"},
		{"platform down", "host killed"},
		{"platform slow", "messages lost"},
		{"platform slow", "host paused"},
		{"messages lost", "host restarted with nothing"},
		{"messages duplicated", "messages delayed and reordered"},
		{"domain cut off from both", "host paused"},
		{"domain cut off from both", "racing operator"},
		{"host leaving", "platform down"},
		{"host leaving", "messages lost"},
		{"target drains", "messages lost"},
		{"target drains", "host killed"},
		{"target drains", "host paused"},
		{"target drains", "domain cut off from the others"},
		{"target drains", "host restarted with nothing"},
		{"host list names the dead", "domain cut off from the others"},
	} {
		pairs = append(pairs, []fault{faultNamed(names[0]), faultNamed(names[1])})
	}
	return pairs
}

// matrixWorkers bounds how many cells run at once.
const matrixWorkers = 4

func parallel(count int, run func(i int)) {
	work := make(chan int)
	var group sync.WaitGroup
	for range min(matrixWorkers, runtime.GOMAXPROCS(0)) {
		group.Go(func() {
			for i := range work {
				run(i)
			}
		})
	}
	for i := range count {
		work <- i
	}
	close(work)
	group.Wait()
}
