package health

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// target is the tracked state of one target.
type target struct {
	number state.TargetNumber
	// slowStartAt is when the target was first seen or its last ejection ended.
	slowStartAt time.Time
	evidence    evidence
	ejected     bool
	// ejectedUntil is the end of the current or last ejection, or the time at which
	// lowerEjectionLevel last lowered the level if that is later.
	ejectedUntil time.Time
	// ejectionLevel times Settings.EjectFor is the length of an ejection. Each ejection
	// raises it; it falls again over time.
	ejectionLevel int
}

// isOutlier reports whether the packet path's evidence shows a success rate far below
// reference, the median success rate of the service.
func (t *target) isOutlier(s Settings, reference float64) bool {
	return t.hasEnoughEvidence(s, reference) && t.evidence.successRate() < s.MinSuccess*reference
}

// provenHealthy reports whether the packet path's evidence shows a success rate near
// or above reference.
func (t *target) provenHealthy(s Settings, reference float64) bool {
	return t.hasEnoughEvidence(s, reference) && t.evidence.successRate() >= healthySuccess*reference
}

// hasEnoughEvidence reports whether there is enough evidence to assess the target. A low
// reference means that the packet path cannot observe success in this service, for
// instance where a datagram is not followed by another.
func (t *target) hasEnoughEvidence(s Settings, reference float64) bool {
	return t.evidence.openings >= s.MinOpenings && reference >= minReferenceSuccess
}

// eject starts an ejection. Its length grows with the ejection level, up to
// Settings.EjectMax.
func (t *target) eject(now time.Time, s Settings) {
	t.ejectionLevel++
	t.ejected = true
	t.ejectedUntil = now.Add(min(time.Duration(t.ejectionLevel)*s.EjectFor, s.EjectMax))
}

// reinstate ends an ejection that has expired. The target goes through slow start, and
// its earlier evidence is discarded.
func (t *target) reinstate(now time.Time) {
	t.cancelEjection(now)
	t.evidence = evidence{at: now}
}

// cancelEjection ends an ejection that exceeds the service's limit. The target goes
// through slow start; its evidence still counts.
func (t *target) cancelEjection(now time.Time) {
	t.ejected = false
	t.slowStartAt = now
}

// lowerEjectionLevel lowers the ejection level by one for every Settings.EjectMax
// without an ejection, so that the next one is shorter.
func (t *target) lowerEjectionLevel(now time.Time, s Settings) {
	if t.ejectionLevel > 0 && !t.ejected && now.Sub(t.ejectedUntil) >= s.EjectMax {
		t.ejectionLevel--
		t.ejectedUntil = now
	}
}
