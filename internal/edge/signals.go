package edge

import (
	"sync"
	"time"
)

// notify wakes a receiver without blocking; one pending signal is enough.
func notify(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// waitFor waits for the group, at most for timeout, and reports whether it is done.
func waitFor(group *sync.WaitGroup, timeout time.Duration) bool {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}
