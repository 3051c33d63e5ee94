package health

import (
	"math"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Sample is what the forward path saw of one target since the last sample.
type Sample struct {
	Target      state.TargetNumber
	Openings    int64
	Completed   int64
	Retransmits int64
	Resets      int64
}

// evidence sums up samples; older ones weigh less.
type evidence struct {
	at          time.Time
	openings    float64
	completed   float64
	retransmits float64
	resets      float64
}

// add takes in a sample.
func (e *evidence) add(now time.Time, halfLife time.Duration, s Sample) {
	e.decay(now, halfLife)
	e.openings += nonNegative(s.Openings)
	e.completed += nonNegative(s.Completed)
	e.retransmits += nonNegative(s.Retransmits)
	e.resets += nonNegative(s.Resets)
}

// decay lets the sums lose weight up to now.
func (e *evidence) decay(now time.Time, halfLife time.Duration) {
	age := now.Sub(e.at)
	if age <= 0 {
		return
	}
	factor := 0.0
	if !e.at.IsZero() {
		factor = math.Exp2(-age.Seconds() / halfLife.Seconds())
	}
	e.at = now
	e.openings *= factor
	e.completed *= factor
	e.retransmits *= factor
	e.resets *= factor
}

// successRate is the share of openings that were completed and not reset at once.
func (e *evidence) successRate() float64 {
	if e.openings == 0 {
		return 1
	}
	good := min(e.completed, e.openings) - e.resets
	return max(0, good/e.openings)
}

// retransmitRate is the number of retransmissions per opening.
func (e *evidence) retransmitRate() float64 {
	if e.openings == 0 {
		return 0
	}
	return e.retransmits / e.openings
}

func nonNegative(n int64) float64 { return float64(max(n, 0)) }

// report is a target's own newest word.
type report struct {
	healthy    bool
	draining   bool
	load       float64
	reportedAt time.Time
	// receivedAt is when At last moved on by this host's clock, which a report with a
	// time in the future can't escape.
	receivedAt time.Time
}

// freshness is 1 for a fresh report and falls to 0 at the horizon.
func (r *report) freshness(now time.Time, horizon time.Duration) float64 {
	if r.reportedAt.IsZero() {
		return 0
	}
	age := max(now.Sub(r.reportedAt), now.Sub(r.receivedAt), 0)
	return max(0, 1-age.Seconds()/horizon.Seconds())
}
