package main

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

// longFlow is a flow that its client keeps open for many requests.
type longFlow struct {
	local    netip.AddrPort
	sent     time.Time // the SYN
	opened   time.Time // the client sent the end of the handshake
	ended    time.Time
	requests int
	err      error
	ack      uint32
}

// watcher keeps a long flow open on each of its clients, and opens another when one ends.
type watcher struct {
	scene   *scene
	service netip.AddrPort
	pause   time.Duration
	most    int // requests on a flow
	mu      sync.Mutex
	flows   []*longFlow
	running sync.WaitGroup
	stop    chan struct{}
}

// maxRequests is the number of requests after which a client closes its flow.
const maxRequests = 150

func (s *scene) startWatchers(service netip.AddrPort, pause time.Duration, perClient int) *watcher {
	w := &watcher{scene: s, service: service, pause: pause, most: maxRequests, stop: make(chan struct{})}
	for _, c := range s.clients {
		for range perClient {
			w.running.Go(func() {
				for !w.stopped() {
					w.watch(c)
				}
			})
		}
	}
	return w
}

func (w *watcher) stopped() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

// watch opens a flow and sends requests on it until it ends.
func (w *watcher) watch(c *client) {
	f, err := c.connect(w.service)
	seen := &longFlow{local: f.local, sent: f.sentAt, opened: f.openedAt}
	w.mu.Lock()
	w.flows = append(w.flows, seen)
	w.mu.Unlock()
	for err == nil && seen.requests < w.most && !w.stopped() && !f.finished {
		_, err = f.request("GET", fmt.Sprintf("w%d-%d", f.local.Port(), seen.requests), 1500*time.Millisecond)
		if err == nil {
			seen.requests++
			time.Sleep(w.pause)
		}
	}
	f.close(err == nil)
	seen.err, seen.ended, seen.ack = err, time.Now(), f.ack
	if err != nil {
		// As a client does after a failure.
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *watcher) finish() {
	close(w.stop)
	w.running.Wait()
}

// period is the time in which the route is there, from its acknowledgement to its removal.
type period struct{ from, until time.Time }

// rollback removes a route, adds it again, and replaces a host by a new process meanwhile.
func rollback(s *scene) int {
	feed := netip.MustParseAddrPort("198.18.0.1:8443")
	proofs := netip.MustParseAddrPort("198.18.0.2:8443")
	services := []map[string]any{
		{"name": "taller", "health_path": "/health", "max_flows": 2000, "protocol": "h1", "tls": false},
		{"name": "pruebas", "health_path": "/health", "max_flows": 2000, "protocol": "h1", "tls": false},
	}
	all := []route{
		{name: "r-feed", kind: "safe", service: "taller", address: feed, objective: 300, timeout: 1500, priority: 2},
		{name: "r-proof", kind: "download", service: "pruebas", address: proofs, objective: 800, timeout: 4000, priority: 2},
	}
	version := 7
	s.putConfig(version, all, services)
	present := []period{{from: time.Now()}}
	for range 4 {
		s.addTarget("taller", zones[0], "--slots", "8", "--work", "5ms")
	}
	s.addTarget("pruebas", zones[0])
	for range 3 {
		s.addHost(zones[0])
	}
	s.addClients(zones[0], 10)
	if !s.await() {
		return exitNotRun
	}
	time.Sleep(time.Until(s.start.Add(8 * time.Second)))
	w := s.startWatchers(feed, 100*time.Millisecond, 4)
	time.Sleep(2 * time.Second)
	for round := range 6 {
		version += 3
		if s.trouble {
			at := s.putConfig(version, all[1:], services)
			present[len(present)-1].until = at
		}
		time.Sleep(s.bounds.configApply + time.Second)
		// One after the other is stopped and started again.
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			if s.trouble {
				s.hosts[round%len(s.hosts)].restart(syscall.SIGTERM)
			}
		}()
		version += 2
		if s.trouble {
			present = append(present, period{from: s.putConfig(version, all, services)})
		}
		<-stopped
		time.Sleep(7 * time.Second)
	}
	w.finish()
	return judgeFlows(s, w, present)
}

// ended reports whether a target's process ended between two times.
func (s *scene) ended(target string, from, until time.Time) bool {
	return slices.ContainsFunc(s.ends[target], func(end time.Time) bool { return end.After(from) && end.Before(until) })
}

// judgeFlows checks FLOW: no flow that was opened while its route was there, whose route no
// later configuration drops and whose target lives is reset by the system.
func judgeFlows(s *scene, w *watcher, present []period) int {
	s.mu.Lock()
	sights := slices.Clone(s.sights)
	s.mu.Unlock()
	opened := map[string]time.Time{}
	at := map[string]string{}
	for _, seen := range sights {
		when := time.Unix(0, seen.At)
		s.logAt(when, fmt.Sprintf("target: %s %s %s %s", seen.Target, seen.What, seen.Client, seen.ID))
		if seen.What == "open" {
			opened[seen.Client] = when
			at[seen.Client] = seen.Target
		}
	}
	broken := 0
	outcomes := map[string]int{}
	for _, f := range w.flows {
		outcome := "closed by the client"
		if f.err != nil {
			outcome = f.err.Error()
		}
		openAt, open := opened[f.local.String()]
		if !open {
			outcome = "never open: " + outcome
		}
		outcomes[outcome]++
		s.logAt(f.sent, fmt.Sprintf("client: flow %s, SYN sent, open: %v, %d requests answered, ended at %.3f s: %s", f.local, open, f.requests, f.ended.Sub(s.start).Seconds(), outcome))
		if f.err != errSystemReset || !open || f.ended.Before(openAt) || s.ended(at[f.local.String()], openAt, f.ended) {
			continue
		}
		for _, p := range present {
			if !f.sent.Before(p.from) && (p.until.IsZero() || f.ended.Before(p.until)) {
				broken++
				s.say("FLOW broken: flow %s, SYN sent at %.3f s, open at its target at %.3f s, %d requests answered, reset by the system at %.3f s; its route is in the configuration acknowledged at %.3f s and in every later one until then",
					f.local, f.sent.Sub(s.start).Seconds(), openAt.Sub(s.start).Seconds(), f.requests, f.ended.Sub(s.start).Seconds(), p.from.Sub(s.start).Seconds())
			}
		}
	}
	s.say("flows: %d, by outcome: %v; %d break FLOW", len(w.flows), outcomes, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
