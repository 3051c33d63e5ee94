package main

import "time"

// playForeignEntry shows an entry of another writer that lacks fields in use.
func playForeignEntry(folder string) {
	sc := newScene(folder, bounds{configMillis: 3000, drainMillis: 3000})
	sc.putConfig(3, 0)
	zones := []string{"a", "b"}
	for z, zone := range zones {
		for n := 1; n <= 2; n++ {
			sc.newHost(zone, 10+z, n)
			sc.newTarget(sc.ip(30+z, n), "core", zone).start(false)
			sc.newTarget(sc.ip(30+z, n+2), "core", zone).start(false)
			sc.newTarget(sc.ip(40+z, n), "sheet", zone).start(false)
		}
	}
	sc.startHosts()
	sc.awaitReady()
	sc.wait(10 * time.Second)
	for z, zone := range zones {
		for n := 1; n <= 3; n++ {
			c := sc.newClient(sc.ip(20+z, n), zone)
			go sc.load(c, coreRoute, 8, 25*time.Second)
			go sc.load(c, sheetRoute, 2, 25*time.Second)
		}
	}
	for _, at := range []time.Duration{14 * time.Second, 17500 * time.Millisecond, 21 * time.Second} {
		sc.wait(at)
		if sc.trouble {
			sc.writeForeignEntries()
		}
	}
	sc.wait(28 * time.Second)
	sc.end()
	wrong := 0
	for _, r := range sc.runs {
		service := coreRoute.service
		if r.key.service == sheetRoute.address {
			service = sheetRoute.service
		}
		if r.target.service != service {
			wrong++
			sc.log("request %s to %s, whose route names %s, was run by %s of %s", r.id, r.key.service, service, r.target.name, r.target.service)
		}
	}
	sc.verdict(wrong > 0, "%d of %d requests were run by a service to which no configuration allows them to go", wrong, len(sc.runs))
}

// writeForeignEntries writes, at the names of the targets of sheet, entries that lack fields.
func (sc *scene) writeForeignEntries() {
	for _, t := range sc.targets {
		if t.service != "sheet" {
			continue
		}
		sc.store.put("servers", t.name, map[string]any{
			"service": "core", "address": t.address.String(), "zone": t.zone, "concurrency": 2, "state": "ready",
		})
		sc.log("another writer writes servers/%s, a target of sheet: service core; version, warmup_left_ms, sequence and born are missing", t.name)
	}
}
