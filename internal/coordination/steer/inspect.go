package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// TargetState is what the host believes about a target.
type TargetState struct {
	ID catalog.TargetID
	// Down tells that the target failed its check, Checking that a check runs.
	Down     bool
	Checking bool
	// Missed is the number of openings and repeats in a row without an answer.
	Missed int
	// Silence is the time since the last answer.
	Silence time.Duration
	// Open is the number of open flows, Waiting that of flows with a request that is
	// not answered yet.
	Open    int
	Waiting int
}

// Targets returns what the host believes about the targets that it has seen.
func (e *Engine) Targets(now time.Duration) []TargetState {
	states := make([]TargetState, 0, len(e.targets.byID))
	for id, r := range e.targets.byID {
		states = append(states, TargetState{
			ID: id, Down: r.down, Checking: r.checking, Missed: r.missed,
			Silence: now - r.lastAnswer, Open: r.openFlows, Waiting: r.waiting,
		})
	}
	return states
}
