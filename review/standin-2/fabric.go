package main

import (
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

// fabric is the platform's routers: they probe each host twice a second and hash the flows
// of a zone's clients over its hosts in rotation.
type fabric struct {
	sc *scene
	mu sync.Mutex
	// missed counts the probes missed in a row.
	missed map[*host]int
}

func newFabric(sc *scene) *fabric { return &fabric{sc: sc, missed: map[*host]int{}} }

// probe probes a host until the scene ends.
func (f *fabric) probe(h *host) {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	f.mu.Lock()
	f.missed[h] = 2
	f.mu.Unlock()
	for range time.Tick(500 * time.Millisecond) {
		answer, err := client.Get("http://" + h.ready + "/guavawharf/ready")
		ready := err == nil && answer.StatusCode == http.StatusOK
		if err == nil {
			_ = answer.Body.Close()
		}
		f.mu.Lock()
		was := f.missed[h] < 2
		if ready {
			f.missed[h] = 0
		} else {
			f.missed[h]++
		}
		if is := f.missed[h] < 2; is != was {
			f.sc.log("host %s in rotation: %v", h.name, is)
		}
		f.mu.Unlock()
	}
}

// inRotation returns the hosts of a zone that the routers use; with fewer than half of them
// in rotation, all of the zone's; with none, those of the other zones that are.
func (f *fabric) inRotation(zone string) []*host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var own, all, others []*host
	for _, h := range f.sc.hosts {
		up := f.missed[h] < 2
		switch {
		case h.zone != zone && up:
			others = append(others, h)
		case h.zone == zone:
			all = append(all, h)
			if up {
				own = append(own, h)
			}
		}
	}
	switch {
	case len(own) == 0:
		return others
	case 2*len(own) < len(all):
		return all
	}
	return own
}

func (f *fabric) pick(zone string, key flowKey) *host {
	hosts := f.inRotation(zone)
	if len(hosts) == 0 {
		return nil
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(key.client.String() + key.service.String()))
	return hosts[sum.Sum32()%uint32(len(hosts))]
}
