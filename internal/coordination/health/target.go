package health

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// target is what is known of one target.
type target struct {
	number state.TargetNumber
	// since is when the target was first seen or last returned; its slow start
	// counts from then.
	since    time.Time
	seen     evidence
	ejected  bool
	until    time.Time
	ejection int
}

// failing tells that the forward path shows an outlier: far less success than
// its service's reference.
func (t *target) failing(s Settings, reference float64) bool {
	return t.judged(s, reference) && t.seen.success() < s.MinSuccess*reference
}

// proven tells that the forward path shows a target that does well.
func (t *target) proven(s Settings, reference float64) bool {
	return t.judged(s, reference) && t.seen.success() >= wellSuccess*reference
}

// judged tells that there is enough to judge by. A low reference means that
// the forward path can't see success in this service, such as with datagrams
// that nothing follows.
func (t *target) judged(s Settings, reference float64) bool {
	return t.seen.openings >= s.MinOpenings && reference >= minReference
}

// eject begins an ejection, longer for each one before.
func (t *target) eject(now time.Time, s Settings) {
	t.ejection++
	t.ejected = true
	t.until = now.Add(min(time.Duration(t.ejection)*s.EjectFor, s.EjectMax))
}

// restore ends an ejection that has run its time; the target starts slowly and
// is judged afresh.
func (t *target) restore(now time.Time) {
	t.release(now)
	t.seen = evidence{at: now}
}

// release ends an ejection for which there is no room; what was seen still
// counts.
func (t *target) release(now time.Time) {
	t.ejected = false
	t.since = now
}

// forgive shortens the next ejection after a long time without one.
func (t *target) forgive(now time.Time, s Settings) {
	if t.ejection > 0 && !t.ejected && now.Sub(t.until) >= s.EjectMax {
		t.ejection--
		t.until = now
	}
}
