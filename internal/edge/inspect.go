package edge

import (
	"time"

	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/coordination/steer"
)

// trafficState is a snapshot of the traffic loop's state.
type trafficState struct {
	targets []steer.TargetState
	flows   int
}

// inspect returns a snapshot from the traffic loop, whose goroutine alone may access
// its engine.
func (t *traffic) inspect() (trafficState, error) {
	reply := make(chan trafficState, 1)
	timeout := time.After(inspectTimeout)
	select {
	case t.inspections <- reply:
		t.checker.wake()
	case <-timeout:
		return trafficState{}, errInspect()
	}
	select {
	case state := <-reply:
		return state, nil
	case <-timeout:
		return trafficState{}, errInspect()
	}
}

func errInspect() error {
	return oops.Code("traffic_busy").Errorf("the traffic loop did not answer within %s", inspectTimeout)
}

// answerInspections sends a snapshot to each waiting caller of inspect.
func (t *traffic) answerInspections() {
	for {
		select {
		case reply := <-t.inspections:
			reply <- trafficState{targets: t.engine.Targets(t.now), flows: t.engine.FlowCount()}
		default:
			return
		}
	}
}
