package health

import (
	"cmp"
	"slices"
	"time"
)

// MaxEjections is how many of a service's targets may be ejected at one time.
func (s Settings) MaxEjections(targets int) int {
	if targets < 2 {
		return 0
	}
	return max(1, int(float64(targets)*s.MaxEjected))
}

// endEjections restores the targets whose ejection has run its time.
func (t *Tracker) endEjections(now time.Time, available []*candidate) {
	for _, c := range available {
		c.lowerEjectionLevel(now, t.settings)
		if c.ejected && !now.Before(c.ejectedUntil) {
			c.reinstate(now)
		}
	}
}

// updateEjections ejects outliers of one service up to the cap and tells whether
// so many of its targets are unwell that health is ignored.
func (t *Tracker) updateEjections(now time.Time, available []*candidate, reference float64) (panicMode bool) {
	var unhealthy []*candidate
	for _, c := range available {
		if c.ejected || t.unhealthy(now, c, reference) {
			unhealthy = append(unhealthy, c)
		}
	}
	healthy := len(available) - len(unhealthy)
	if float64(healthy) < t.settings.PanicThreshold*float64(len(available)) {
		return true
	}
	slices.SortStableFunc(unhealthy, worstFirst)
	limit := t.settings.MaxEjections(len(available))
	for i, c := range unhealthy {
		switch {
		case i >= limit && c.ejected:
			c.cancelEjection(now)
		case i < limit && !c.ejected:
			c.eject(now, t.settings)
		}
	}
	return false
}

// unhealthy tells whether a target should be ejected: the forward path shows it
// failing, or its own fresh word says so and the forward path doesn't prove it
// wrong.
func (t *Tracker) unhealthy(now time.Time, c *candidate, reference float64) bool {
	if c.isOutlier(t.settings, reference) {
		return true
	}
	if c.report.healthy || c.provenHealthy(t.settings, reference) {
		return false
	}
	return c.report.freshness(now, t.settings.MaxLoadAge) > 0
}

// worstFirst puts targets ejected before first, then those with least success.
func worstFirst(a, b *candidate) int {
	if a.ejected != b.ejected {
		if a.ejected {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.evidence.successRate(), b.evidence.successRate()), cmp.Compare(a.number, b.number))
}
