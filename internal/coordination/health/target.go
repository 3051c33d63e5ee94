package health

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// target is what is known of one target.
type target struct {
	number state.TargetNumber
	// slowStartAt is when the target was first seen or last returned; its slow start
	// counts from then.
	slowStartAt   time.Time
	evidence      evidence
	ejected       bool
	ejectedUntil  time.Time
	ejectionLevel int
}

// isOutlier tells that the forward path shows an outlier: far less success than
// its service's reference.
func (t *target) isOutlier(s Settings, reference float64) bool {
	return t.judgeable(s, reference) && t.evidence.successRate() < s.MinSuccess*reference
}

// provenHealthy tells that the forward path shows a target that does well.
func (t *target) provenHealthy(s Settings, reference float64) bool {
	return t.judgeable(s, reference) && t.evidence.successRate() >= healthySuccess*reference
}

// judgeable tells that there is enough to judge by. A low reference means that
// the forward path can't see success in this service, such as with datagrams
// that nothing follows.
func (t *target) judgeable(s Settings, reference float64) bool {
	return t.evidence.openings >= s.MinOpenings && reference >= minReferenceSuccess
}

// eject begins an ejection, longer for each one before.
func (t *target) eject(now time.Time, s Settings) {
	t.ejectionLevel++
	t.ejected = true
	t.ejectedUntil = now.Add(min(time.Duration(t.ejectionLevel)*s.EjectFor, s.EjectMax))
}

// reinstate ends an ejection that has run its time; the target starts slowly and
// is judged afresh.
func (t *target) reinstate(now time.Time) {
	t.cancelEjection(now)
	t.evidence = evidence{at: now}
}

// cancelEjection ends an ejection for which there is no room; what was seen still
// counts.
func (t *target) cancelEjection(now time.Time) {
	t.ejected = false
	t.slowStartAt = now
}

// lowerEjectionLevel shortens the next ejection after a long time without one.
func (t *target) lowerEjectionLevel(now time.Time, s Settings) {
	if t.ejectionLevel > 0 && !t.ejected && now.Sub(t.ejectedUntil) >= s.EjectMax {
		t.ejectionLevel--
		t.ejectedUntil = now
	}
}
