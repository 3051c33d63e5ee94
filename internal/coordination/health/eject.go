package health

import (
	"cmp"
	"slices"
	"time"
)

// MaxEjections is how many of a service's targets may be ejected at the same time.
func (s Settings) MaxEjections(targets int) int {
	if targets < 2 {
		return 0
	}
	return max(1, int(float64(targets)*s.MaxEjected))
}

// endEjections reinstates the targets whose ejection has expired.
func (t *Tracker) endEjections(now time.Time, available []*candidate) {
	for _, c := range available {
		c.lowerEjectionLevel(now, t.settings)
		if c.ejected && !now.Before(c.ejectedUntil) {
			c.reinstate(now)
		}
	}
}

// updateEjections ejects the unhealthy targets of one service, up to MaxEjections. It
// reports whether so few targets are healthy that health is ignored (panic mode); the
// ejections then stay as they are.
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

// unhealthy reports whether a target should be ejected: the packet path's evidence
// shows an outlier, or its own fresh report says that it is unhealthy and that evidence
// does not prove the opposite.
func (t *Tracker) unhealthy(now time.Time, c *candidate, reference float64) bool {
	if c.isOutlier(t.settings, reference) {
		return true
	}
	if c.report.healthy || c.provenHealthy(t.settings, reference) {
		return false
	}
	return c.report.freshness(now, t.settings.MaxLoadAge) > 0
}

// worstFirst orders targets that are ejected already first, then by rising success
// rate.
func worstFirst(a, b *candidate) int {
	if a.ejected != b.ejected {
		if a.ejected {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.evidence.successRate(), b.evidence.successRate()), cmp.Compare(a.number, b.number))
}
