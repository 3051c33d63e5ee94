package main

import (
	"net/netip"
	"syscall"
	"time"
)

// release replaces the targets of a service, which keep their ids, and restarts hosts as
// they come back.
func release(s *scene) int {
	feed := netip.MustParseAddrPort("198.18.0.1:8443")
	s.putConfig(7, []route{{name: "r-feed", kind: "safe", service: "taller", address: feed, objective: 300, timeout: 1500, priority: 2}},
		[]map[string]any{{"name": "taller", "health_path": "/health", "max_flows": 2000, "protocol": "h1", "tls": false}})
	present := []period{{from: time.Now()}}
	for range 4 {
		s.addTarget("taller", zones[0], "--slots", "30", "--work", "55ms")
	}
	for range 3 {
		s.addHost(zones[0])
	}
	s.addClients(zones[0], 10)
	if !s.await() {
		return exitNotRun
	}
	time.Sleep(time.Until(s.start.Add(8 * time.Second)))
	w := s.startWatchers(feed, 20*time.Millisecond, 5)
	w.most = 25
	for round := range 7 {
		time.Sleep(time.Second)
		if !s.trouble {
			time.Sleep(12 * time.Second)
			continue
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			time.Sleep(s.bounds.drain + time.Second)
			s.hosts[round%len(s.hosts)].restart(syscall.SIGTERM)
		}()
		// Two of the four are replaced: a share of 0.5.
		both := make(chan struct{})
		go func() { s.targets[(2*round+1)%4].replace(); close(both) }()
		s.targets[2*round%4].replace()
		<-both
		<-ended
		time.Sleep(4 * time.Second)
	}
	w.finish()
	return judgeFlows(s, w, present)
}
