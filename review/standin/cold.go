package main

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// The service of the drills about cold targets.
const (
	coldWarmUp = 2 * time.Second
	// coldPerSecond is warmup_per_s.
	coldPerSecond = 2
)

var zones = []string{"miraflores", "barranco", "surco"}

// try is one flow of a client, with a request.
type try struct {
	client string
	id     string
	sent   time.Time
	end    time.Time
	answer string
	err    error
}

// load sends requests in flows of their own, at a steady rate, until stopped.
type load struct {
	scene   *scene
	service netip.AddrPort
	mu      sync.Mutex
	tries   []try
	next    int
	running sync.WaitGroup
	stop    chan struct{}
}

// startLoad sends perSecond requests a second from each client.
func (s *scene) startLoad(service netip.AddrPort, perSecond float64) *load {
	l := &load{scene: s, service: service, stop: make(chan struct{})}
	for i, c := range s.clients {
		l.running.Go(func() {
			interval := time.Duration(float64(time.Second) / perSecond)
			time.Sleep(interval * time.Duration(i) / time.Duration(len(s.clients)))
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-l.stop:
					return
				case <-ticker.C:
					l.running.Go(func() { l.send(c) })
				}
			}
		})
	}
	return l
}

// send sends one request, and up to two times more in a new flow if its flow never opened.
func (l *load) send(c *client) {
	for range 3 {
		l.mu.Lock()
		l.next++
		id := fmt.Sprintf("a%06d", l.next)
		l.mu.Unlock()
		f, err := c.connect(l.service)
		opened := err == nil
		answer := ""
		if opened {
			answer, err = f.request("POST", id, 2*time.Second)
		}
		f.close(err == nil)
		l.mu.Lock()
		l.tries = append(l.tries, try{client: f.local.String(), id: id, sent: f.sentAt, end: time.Now(), answer: answer, err: err})
		l.mu.Unlock()
		if opened {
			return
		}
	}
}

func (l *load) finish() {
	close(l.stop)
	l.running.Wait()
}

// opening is a flow that a target took.
type opening struct {
	sent, arrived time.Time
	client        string
}

// busiestSecond returns the most openings that were sent and arrived inside one second.
func busiestSecond(openings []opening) (most int, at time.Time) {
	for _, first := range openings {
		count := 0
		for _, o := range openings {
			if !o.sent.Before(first.sent) && o.arrived.Before(first.sent.Add(time.Second)) {
				count++
			}
		}
		if count > most {
			most, at = count, first.sent
		}
	}
	return most, at
}

// judgeCold checks FAILBACK for each start of a target during traffic.
func judgeCold(s *scene, l *load, trafficSince time.Time) int {
	sent := map[string]time.Time{}
	served, failed := 0, map[string]int{}
	for _, t := range l.tries {
		sent[t.client] = t.sent
		outcome := "answered: " + t.answer
		if t.err != nil {
			outcome = t.err.Error()
			failed[t.err.Error()]++
		} else {
			served++
		}
		s.logAt(t.sent, fmt.Sprintf("client: %s request %s sent, ended after %d ms, %s", t.client, t.id, t.end.Sub(t.sent).Milliseconds(), outcome))
	}
	s.say("requests: %d tries, %d served, failed: %v", len(l.tries), served, failed)
	s.mu.Lock()
	sights := slices.Clone(s.sights)
	s.mu.Unlock()
	arrived := map[string]map[string]time.Time{}
	limit := coldPerSecond*s.bounds.overage + s.bounds.slack
	code := exitHeld
	for _, seen := range sights {
		at := time.Unix(0, seen.At)
		s.logAt(at, fmt.Sprintf("target: %s %s %s %s", seen.Target, seen.What, seen.Client, seen.ID))
		if seen.What == "syn" {
			if arrived[seen.Target] == nil {
				arrived[seen.Target] = map[string]time.Time{}
			}
			if _, known := arrived[seen.Target][seen.Client]; !known {
				arrived[seen.Target][seen.Client] = at
			}
		}
		if seen.What == "forged" {
			s.say("target %s got a packet that its sender didn't write so", seen.Target)
		}
	}
	for _, start := range sights {
		born := time.Unix(0, start.At)
		if start.What != "born" || born.Before(trafficSince) {
			continue
		}
		var openings []opening
		for _, seen := range sights {
			at := time.Unix(0, seen.At)
			if seen.Target != start.Target || seen.What != "open" || at.Before(born) {
				continue
			}
			o := opening{client: seen.Client, sent: sent[seen.Client], arrived: arrived[seen.Target][seen.Client]}
			if o.arrived.Before(born) || !o.arrived.Before(born.Add(coldWarmUp)) || o.sent.IsZero() {
				continue
			}
			openings = append(openings, o)
		}
		most, at := busiestSecond(openings)
		verdict := "within the limit"
		if float64(most) > limit {
			verdict = "FAILBACK broken"
			code = exitBroken
		}
		s.say("target %s started at %.3f s, cold for %v: %d flows opened there meanwhile, at most %d sent and arrived in one second (from %.3f s); limit %g: %s",
			start.Target, born.Sub(s.start).Seconds(), coldWarmUp, len(openings), most, at.Sub(s.start).Seconds(), limit, verdict)
	}
	return code
}

// coldTargets is the number of targets: one of them is within the share of 0.15 that crashes.
const coldTargets = 7

// coldScene starts three zones with two hosts, two or three targets and two clients each.
func coldScene(s *scene) (netip.AddrPort, bool) {
	service := netip.MustParseAddrPort("198.18.0.1:8443")
	s.putConfig(7, []route{{name: "r-deposit", kind: "unsafe", service: "taller", address: service, objective: 300, timeout: 2000, priority: 1}},
		[]map[string]any{{"name": "taller", "health_path": "/health", "max_flows": 2000, "protocol": "h1", "tls": false, "warmup_s": coldWarmUp.Seconds(), "warmup_per_s": coldPerSecond}})
	for i := range coldTargets {
		s.addTarget("taller", zones[i%len(zones)], "--slots", "3", "--work", "10ms", "--warm-up", coldWarmUp.String())
	}
	for _, zone := range zones {
		s.addHost(zone)
		s.addHost(zone)
	}
	for _, zone := range zones {
		s.addClients(zone, 2)
	}
	return service, s.await()
}

// coldRounds is the number of targets that are killed, one after the other.
const coldRounds = 6

// cold kills a target, which is started again at once under its id, and so with others.
func cold(s *scene) int {
	service, ready := coldScene(s)
	if !ready {
		return exitNotRun
	}
	// Traffic starts 14 s after the machines do.
	time.Sleep(time.Until(s.start.Add(14 * time.Second)))
	trafficSince := time.Now()
	l := s.startLoad(service, 15)
	time.Sleep(10 * time.Second)
	for i := range coldRounds {
		if s.trouble {
			t := s.targets[i]
			t.kill()
			t.run()
		}
		time.Sleep(8 * time.Second)
	}
	l.finish()
	return judgeCold(s, l, trafficSince)
}

// allCold kills all targets of the service at once and starts them again after a while.
func allCold(s *scene) int {
	service, ready := coldScene(s)
	if !ready {
		return exitNotRun
	}
	time.Sleep(time.Until(s.start.Add(14 * time.Second)))
	trafficSince := time.Now()
	l := s.startLoad(service, 15)
	time.Sleep(8 * time.Second)
	for range 3 {
		if s.trouble {
			for _, t := range s.targets {
				t.kill()
			}
			time.Sleep(allDown)
			for _, t := range s.targets {
				t.run()
			}
		}
		time.Sleep(12 * time.Second)
	}
	l.finish()
	return judgeCold(s, l, trafficSince)
}

// allDown is how long all targets are down.
const allDown = 3 * time.Second
