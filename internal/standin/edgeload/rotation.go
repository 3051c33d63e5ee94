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
	// readyInterval is the time between two questions whether a host is ready, and
	// missesToLeave how many in a row take it out of the rotation.
	readyInterval = 500 * time.Millisecond
	missesToLeave = 2
	// startInterval is the time between two questions while hosts start.
	startInterval = 50 * time.Millisecond
)

// rotation are the hosts that get packets, as the platform's fabric has them.
type rotation struct {
	hosts  []Host
	client http.Client

	mu     sync.Mutex
	misses []int
}

func newRotation(hosts []Host) *rotation {
	return &rotation{hosts: hosts, client: http.Client{Timeout: readyInterval}, misses: make([]int, len(hosts))}
}

// follow asks the hosts until the context ends.
func (r *rotation) follow(ctx context.Context) {
	for sleep(ctx, readyInterval) {
		r.askAll()
	}
}

func (r *rotation) askAll() (ready int) {
	for i, host := range r.hosts {
		isReady := r.ask(host)
		r.mu.Lock()
		r.misses[i]++
		if isReady {
			r.misses[i] = 0
			ready++
		}
		r.mu.Unlock()
	}
	return ready
}

func (r *rotation) ask(host Host) bool {
	response, err := r.client.Get("http://" + host.Ready.String() + platformtest.PathReady)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitAll waits until every host is ready; the store may fail meanwhile.
func (r *rotation) awaitAll(ctx context.Context, storeFailed <-chan error) error {
	until := time.Now().Add(startWait)
	for r.askAll() < len(r.hosts) {
		select {
		case err := <-storeFailed:
			return err
		default:
		}
		if time.Now().After(until) || !sleep(ctx, startInterval) {
			return fmt.Errorf("not every host was ready within %s", startWait)
		}
	}
	return nil
}

// choose returns a choice of the host for each packet, at random over those in
// rotation, or over all if none is.
func (r *rotation) choose(random *rand.Rand) func() netip.AddrPort {
	return func() netip.AddrPort {
		r.mu.Lock()
		defer r.mu.Unlock()
		var ready []Host
		for i, host := range r.hosts {
			if r.misses[i] < missesToLeave {
				ready = append(ready, host)
			}
		}
		if len(ready) == 0 {
			ready = r.hosts
		}
		return ready[random.IntN(len(ready))].Packets
	}
}
