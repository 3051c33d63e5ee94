package health

import (
	"math"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Sample counts what the packet path observed of one target since the last sample.
type Sample struct {
	Target      state.TargetNumber
	Openings    int64
	Completed   int64
	Retransmits int64
	Resets      int64
}

// evidence sums samples with exponential decay.
type evidence struct {
	at          time.Time
	openings    float64
	completed   float64
	retransmits float64
	resets      float64
}

// add decays the sums up to now and adds a sample.
func (e *evidence) add(now time.Time, halfLife time.Duration, s Sample) {
	e.decay(now, halfLife)
	e.openings += nonNegative(s.Openings)
	e.completed += nonNegative(s.Completed)
	e.retransmits += nonNegative(s.Retransmits)
	e.resets += nonNegative(s.Resets)
}

// decay halves the sums for every half-life since the last call.
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

// successRate is the share of openings that were completed and not reset at once;
// 1 without openings.
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

// report is a target's own newest report.
type report struct {
	healthy    bool
	draining   bool
	load       float64
	reportedAt time.Time
	// receivedAt is when the report first arrived, by this host's clock; a repetition
	// does not renew it. It ages a report whose own time lies in the future.
	receivedAt time.Time
}

// freshness is the weight of the report: 1 when new, falling to 0 at the age horizon.
func (r *report) freshness(now time.Time, horizon time.Duration) float64 {
	if r.reportedAt.IsZero() {
		return 0
	}
	age := max(now.Sub(r.reportedAt), now.Sub(r.receivedAt), 0)
	return max(0, 1-age.Seconds()/horizon.Seconds())
}
