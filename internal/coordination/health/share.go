package health

import (
	"math"
	"slices"
	"time"
)

// computeShares sets the shares of one service's targets. The largest share of
// those not ejected is a full one: only the proportions matter.
func (t *Tracker) computeShares(now time.Time, available []*candidate, reference float64, ignored bool) {
	taking := available
	if !ignored {
		taking = slices.DeleteFunc(slices.Clone(available), func(c *candidate) bool { return c.ejected })
	}
	mean, strain := t.meanLoad(now, taking), medianRetransmitRate(taking)
	largest := 0.0
	for _, c := range taking {
		factor := t.slowStartFactor(now, c)
		if !ignored {
			factor *= t.loadFactor(now, c, mean, reference)
			factor *= t.successFactor(c, reference)
			factor *= t.retransmitFactor(c, strain)
		}
		c.share = factor
		largest = max(largest, factor)
	}
	for _, c := range taking {
		c.share = FullShare * c.share / largest
	}
}

// slowStartFactor grows with the time since the target was added or returned.
func (t *Tracker) slowStartFactor(now time.Time, c *candidate) float64 {
	grown := now.Sub(c.slowStartAt).Seconds() / t.settings.SlowStart.Seconds()
	return min(1, initialFactor+(1-initialFactor)*grown)
}

// loadFactor turns the distance of the reported load from the service's mean
// into a factor, the less so the older the report. Only a target that the
// forward path proves well can gain by its word.
func (t *Tracker) loadFactor(now time.Time, c *candidate, mean, reference float64) float64 {
	above := c.report.load - mean
	if math.Abs(above) <= loadTolerance {
		return 1
	}
	upper := 1.0
	if c.provenHealthy(t.settings, reference) {
		upper = maxLoadFactor
	}
	return min(max(1-above*c.report.freshness(now, t.settings.MaxLoadAge), minLoadFactor), upper)
}

// successFactor lowers the share of a target that completes too few openings.
func (t *Tracker) successFactor(c *candidate, reference float64) float64 {
	if !c.judgeable(t.settings, reference) {
		return 1
	}
	return min(1, max(c.evidence.successRate()/(healthySuccess*reference), minSuccessFactor))
}

// retransmitFactor lowers the share of a target with far more retransmissions than
// its service has.
func (t *Tracker) retransmitFactor(c *candidate, median float64) float64 {
	if c.evidence.openings < t.settings.MinOpenings {
		return 1
	}
	if c.evidence.retransmitRate() <= max(outlierRetransmitRatio*median, minOutlierRetransmitRate) {
		return 1
	}
	return outlierRetransmitFactor
}

// meanLoad is the mean reported load, weighed by the freshness of the reports.
func (t *Tracker) meanLoad(now time.Time, of []*candidate) float64 {
	sum, weights := 0.0, 0.0
	for _, c := range of {
		weight := c.report.freshness(now, t.settings.MaxLoadAge)
		sum += weight * c.report.load
		weights += weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// referenceSuccess is the median success of the targets with enough openings,
// the better one of two.
func (t *Tracker) referenceSuccess(of []*candidate) float64 {
	var successes []float64
	for _, c := range of {
		if c.evidence.openings >= t.settings.MinOpenings {
			successes = append(successes, c.evidence.successRate())
		}
	}
	if len(successes) == 0 {
		return 0
	}
	slices.Sort(successes)
	return successes[len(successes)/2]
}

func medianRetransmitRate(of []*candidate) float64 {
	if len(of) == 0 {
		return 0
	}
	strains := make([]float64, 0, len(of))
	for _, c := range of {
		strains = append(strains, c.evidence.retransmitRate())
	}
	slices.Sort(strains)
	return strains[(len(strains)-1)/2]
}

// roundShare gives the share in thousandths, in whole steps.
func roundShare(share float64) uint32 {
	steps := math.Round(share / ShareStep)
	return uint32(min(max(steps*ShareStep, MinShare), FullShare))
}
