package main

import (
	"sort"
	"time"
)

// playColdRestart shows what cold targets get when a zone is taken back just before a host of
// the zone starts again.
func playColdRestart(folder string) {
	const perSecond = 1
	b := bounds{configMillis: 5000, drainMillis: 5000, evacuateMillis: 5000, warmupOverage: 1.5, warmupSlack: 5}
	sc := newScene(folder, b)
	sc.putConfig(3, perSecond)
	zones := []string{"a", "b"}
	for z, zone := range zones {
		for n := 1; n <= 2; n++ {
			sc.newHost(zone, 10+z, n)
		}
		for n := 1; n <= 3; n++ {
			sc.newTarget(sc.ip(30+z, n), "core", zone).start(false)
		}
		sc.newTarget(sc.ip(40+z, 1), "sheet", zone).start(false)
	}
	sc.startHosts()
	sc.awaitReady()
	sc.wait(12 * time.Second)
	end := 60 * time.Second
	for z, zone := range zones {
		for n := 1; n <= 4; n++ {
			c := sc.newClient(sc.ip(20+z, n), zone)
			go sc.load(c, coreRoute, 25, end)
		}
	}
	for _, at := range []time.Duration{15 * time.Second, 30 * time.Second, 45 * time.Second} {
		sc.wait(at)
		sc.evacuateAndRestart(sc.hosts[1])
	}
	sc.wait(end + 2*time.Second)
	sc.end()
	limit := perSecond*b.warmupOverage + b.warmupSlack
	most := sc.mostCold()
	sc.verdict(float64(most) > limit, "at most %d requests reached a cold target within one second; the limit is %v", most, limit)
}

// evacuateAndRestart evacuates zone a for some 7 s and stops and starts a host meanwhile, so
// that its process starts just after the zone is taken back.
func (sc *scene) evacuateAndRestart(restarted *host) {
	sc.store.put("evacuations", "a", map[string]any{})
	sc.log("the operator evacuates zone a; the store has acknowledged it")
	time.Sleep(6 * time.Second)
	if sc.trouble {
		sc.log("SIGTERM to host %s", restarted.name)
		restarted.stop(6 * time.Second)
	}
	for _, t := range sc.targets {
		if t.zone == "a" {
			t.getCold()
		}
	}
	sc.log("the targets of zone a are cold from now on, for 2 s")
	time.Sleep(100 * time.Millisecond)
	sc.store.remove("evacuations", "a")
	sc.log("the operator takes zone a back; the store has acknowledged it")
	if sc.trouble {
		time.Sleep(100 * time.Millisecond)
		restarted.start()
	}
}

// mostCold returns the most opening packets that a cold target took within one second.
func (sc *scene) mostCold() int {
	taken := map[*target][]time.Time{}
	for _, o := range sc.openings {
		if o.cold {
			taken[o.target] = append(taken[o.target], o.at)
		}
	}
	most := 0
	for t, times := range taken {
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		worst, from := 0, 0
		for i := range times {
			first := sort.Search(i, func(k int) bool { return times[i].Sub(times[k]) < time.Second })
			if i-first+1 > worst {
				worst, from = i-first+1, first
			}
		}
		sc.log("cold target %s took %d flows in all, at most %d within one second from %.3f s on", t.name, len(times), worst, sc.seconds(times[from]))
		most = max(most, worst)
	}
	return most
}
