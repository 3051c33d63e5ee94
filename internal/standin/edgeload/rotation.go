package edgeload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/guavawharf/guavawharf/platform/platformtest"
)

const (
	// probeInterval is the time between two rounds of readiness probes, and the
	// timeout of a probe. A host that misses maxMissedProbes probes in a row is
	// taken out of the rotation.
	probeInterval   = 500 * time.Millisecond
	maxMissedProbes = 2
	// startProbeInterval is the time between two rounds while hosts start.
	startProbeInterval = 50 * time.Millisecond
)

// rotation tracks which hosts are ready for packets, like the platform's fabric.
type rotation struct {
	hosts  []Host
	client http.Client

	mu sync.Mutex
	// missedProbes counts, by host, the probes missed in a row.
	missedProbes []int
}

func newRotation(hosts []Host) *rotation {
	return &rotation{hosts: hosts, client: http.Client{Timeout: probeInterval}, missedProbes: make([]int, len(hosts))}
}

// probePeriodically probes the hosts until the context ends.
func (r *rotation) probePeriodically(ctx context.Context) {
	for sleep(ctx, probeInterval) {
		r.probeAll()
	}
}

// probeAll probes each host once and returns the number of ready hosts.
func (r *rotation) probeAll() (ready int) {
	for i, host := range r.hosts {
		isReady := r.probe(host)
		r.mu.Lock()
		r.missedProbes[i]++
		if isReady {
			r.missedProbes[i] = 0
			ready++
		}
		r.mu.Unlock()
	}
	return ready
}

// probe reports whether the host answers that it is ready.
func (r *rotation) probe(host Host) bool {
	response, err := r.client.Get("http://" + host.Ready.String() + platformtest.PathReady)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitAllReady waits until all hosts are ready. It returns an error if the store
// fails, the context ends or startTimeout passes before.
func (r *rotation) waitAllReady(ctx context.Context, storeFailed <-chan error) error {
	deadline := time.Now().Add(startTimeout)
	for r.probeAll() < len(r.hosts) {
		select {
		case err := <-storeFailed:
			return err
		default:
		}
		if time.Now().After(deadline) || !sleep(ctx, startProbeInterval) {
			return fmt.Errorf("not every host was ready within %s", startTimeout)
		}
	}
	return nil
}

// chooser returns a function that picks the host for a packet at random among the
// hosts in rotation, or among all hosts if none is.
func (r *rotation) chooser(random *rand.Rand) func() netip.AddrPort {
	return func() netip.AddrPort {
		r.mu.Lock()
		defer r.mu.Unlock()
		var ready []Host
		for i, host := range r.hosts {
			if r.missedProbes[i] < maxMissedProbes {
				ready = append(ready, host)
			}
		}
		if len(ready) == 0 {
			ready = r.hosts
		}
		return ready[random.IntN(len(ready))].Packets
	}
}
