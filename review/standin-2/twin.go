package main

import (
	"strings"
	"sync"
	"time"
)

// reorder is the bound reorder_ms.
const reorder = 2 * time.Second

// playTwin shows what an entry of another writer does to the open flows of the target whose
// digits its name ends with.
func playTwin(folder string) {
	sc := newScene(folder, bounds{configMillis: 3000, drainMillis: 3000})
	sc.putConfig(3, 0)
	var cores []*target
	zones := []string{"a", "b"}
	for z, zone := range zones {
		for n := 1; n <= 2; n++ {
			sc.newHost(zone, 10+z, n)
			t := sc.newTarget(sc.ip(30+z, n), "core", zone)
			t.start(false)
			cores = append(cores, t)
		}
	}
	sc.startHosts()
	sc.awaitReady()
	sc.wait(10 * time.Second)
	var sessions sync.WaitGroup
	for z, zone := range zones {
		c := sc.newClient(sc.ip(20+z, 1), zone)
		for range 12 {
			sessions.Go(func() { sc.session(c, 28*time.Second) })
		}
	}
	sc.wait(15 * time.Second)
	if sc.trouble {
		name := "old-" + strings.TrimPrefix(cores[0].name, "i-")
		sc.store.put("servers", name, map[string]any{
			"service": "core", "address": cores[1].address.String(), "zone": cores[0].zone, "concurrency": 2, "state": "ready",
		})
		sc.log("another writer writes servers/%s with the address of %s; version, warmup_left_ms, sequence and born are missing", name, cores[1].name)
	}
	sessions.Wait()
	sc.end()
	astray := 0
	for key, s := range sc.astray {
		if s.most >= 3 && s.longest >= reorder {
			astray++
			sc.log("flow %s, open at %s, which runs: %d packets in a row reached other targets, over %s", key.client, sc.opens[key].name, s.most, s.longest)
		}
	}
	sc.verdict(astray > 0, "of %d open flows, the packets of %d went to other targets", len(sc.opens), astray)
}

// session keeps a flow open and sends a request on it every 300 ms.
func (sc *scene) session(c *clientHost, until time.Duration) {
	f, err := c.open(coreRoute.address)
	if err != nil {
		sc.log("client %s: flow not opened: %v", f.key.client, err)
		return
	}
	for time.Since(sc.start) < until {
		id, body, err := f.request(7 * time.Second)
		if err != nil {
			sc.log("client %s: request %s on its open flow: %v", f.key.client, id, err)
			return
		}
		sc.log("client %s: request %s is answered: %s", f.key.client, id, body)
		time.Sleep(300 * time.Millisecond)
	}
	f.finish()
}
