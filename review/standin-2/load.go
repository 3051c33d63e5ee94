package main

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// route is a route of the configuration.
type route struct {
	name    string
	address netip.AddrPort
	service string
	kind    string
}

var (
	coreRoute  = route{"r-core", netip.MustParseAddrPort("127.200.0.1:8443"), "core", "unsafe"}
	sheetRoute = route{"r-sheet", netip.MustParseAddrPort("127.200.0.2:8443"), "sheet", "download"}
)

// putConfig writes a configuration with both routes. perSecond is the limit of a cold
// target, 0 for none.
func (sc *scene) putConfig(version int, perSecond float64) {
	var routes []map[string]any
	for _, r := range []route{coreRoute, sheetRoute} {
		routes = append(routes, map[string]any{
			"name": r.name, "host": r.address.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", r.address.Port()),
			"route_type": r.kind, "timeout_ms": 2000, "slo_ms": 400, "priority": 1, "service": r.service, "max_attempts": 2,
		})
	}
	var services []map[string]any
	for _, name := range []string{"core", "sheet"} {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_flows": 2000, "protocol": "h1", "tls": false,
			"warmup_s": 2.0, "warmup_per_s": perSecond,
		})
	}
	sc.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// load has a client open a flow for each request, perSecond of them at even distances, until
// the time since the start of the scene.
func (sc *scene) load(c *clientHost, r route, perSecond float64, until time.Duration) {
	gap := time.Duration(float64(time.Second) / perSecond)
	for next := time.Now(); time.Since(sc.start) < until; next = next.Add(gap) {
		time.Sleep(time.Until(next))
		go sc.oneRequest(c, r)
	}
}

func (sc *scene) oneRequest(c *clientHost, r route) {
	sc.count(r.name + ": requests sent")
	f, err := c.open(r.address)
	if err != nil {
		sc.log("client %s: flow to %s not opened: %v", f.key.client, r.address, err)
		sc.count(r.name + ": flow not opened, " + err.Error())
		return
	}
	id, body, err := f.request(2 * time.Second)
	if err != nil {
		sc.log("client %s: request %s to %s: %v", f.key.client, id, r.address, err)
		sc.count(r.name + ": no answer, " + err.Error())
		f.close()
		return
	}
	f.finish()
	service, answered, _ := strings.Cut(body, " ")
	sc.log("client %s: request %s to %s is answered by %s for %s", f.key.client, id, r.address, service, answered)
	if answered != id {
		sc.count(r.name + ": foreign answers")
		return
	}
	sc.count(r.name + ": answered by " + service)
}
