package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// TargetState is what the engine has observed of a target.
type TargetState struct {
	ID catalog.TargetID
	// Down reports whether the last check failed, Checking whether a check is running.
	Down     bool
	Checking bool
	// Missed is the number of consecutive SYNs and retransmissions without an answer.
	Missed int
	// Silence is the time since the last answer.
	Silence time.Duration
	// Open is the number of open flows, Waiting that of flows that await an answer to a
	// request.
	Open    int
	Waiting int
	// Queue is the estimated queue, in units of the usual time to an answer.
	Queue float64
}

// Targets returns the state of every target that the engine tracks.
func (e *Engine) Targets(now time.Duration) []TargetState {
	states := make([]TargetState, 0, len(e.targets.byID))
	for id, r := range e.targets.byID {
		states = append(states, TargetState{
			ID: id, Down: r.down, Checking: r.checking, Missed: r.missed,
			Silence: now - r.lastAnswer, Open: r.openFlows, Waiting: r.waiting, Queue: r.estimate.Queue(now),
		})
	}
	return states
}
