package health

import (
	"math"
	"slices"
	"time"
)

// computeShares sets the shares of one service's targets. Only their proportions
// matter, so they are scaled to give the largest one a full share. In panic mode only
// slow start counts, and ejected targets take part.
func (t *Tracker) computeShares(now time.Time, available []*candidate, reference float64, panicMode bool) {
	eligible := available
	if !panicMode {
		eligible = slices.DeleteFunc(slices.Clone(available), func(c *candidate) bool { return c.ejected })
	}
	meanLoad, medianRate := t.meanLoad(now, eligible), medianRetransmitRate(eligible)
	largest := 0.0
	for _, c := range eligible {
		factor := t.slowStartFactor(now, c)
		if !panicMode {
			factor *= t.loadFactor(now, c, meanLoad, reference)
			factor *= t.successFactor(c, reference)
			factor *= t.retransmitFactor(c, medianRate)
		}
		c.share = factor
		largest = max(largest, factor)
	}
	for _, c := range eligible {
		c.share = FullShare * c.share / largest
	}
}

// slowStartFactor grows linearly from initialFactor to 1 during slow start.
func (t *Tracker) slowStartFactor(now time.Time, c *candidate) float64 {
	grown := now.Sub(c.slowStartAt).Seconds() / t.settings.SlowStart.Seconds()
	return min(1, initialFactor+(1-initialFactor)*grown)
}

// loadFactor lowers the share of a target whose reported load is above the service's
// mean, and raises it below. The effect shrinks with the age of the report. Only a
// target that the packet path's evidence proves healthy can gain.
func (t *Tracker) loadFactor(now time.Time, c *candidate, meanLoad, reference float64) float64 {
	excess := c.report.load - meanLoad
	if math.Abs(excess) <= loadTolerance {
		return 1
	}
	maxFactor := 1.0
	if c.provenHealthy(t.settings, reference) {
		maxFactor = maxLoadFactor
	}
	return min(max(1-excess*c.report.freshness(now, t.settings.MaxLoadAge), minLoadFactor), maxFactor)
}

// successFactor lowers the share of a target whose success rate is below
// healthySuccess times reference.
func (t *Tracker) successFactor(c *candidate, reference float64) float64 {
	if !c.hasEnoughEvidence(t.settings, reference) {
		return 1
	}
	return min(1, max(c.evidence.successRate()/(healthySuccess*reference), minSuccessFactor))
}

// retransmitFactor lowers the share of a target with far more retransmissions per
// opening than the median of its service.
func (t *Tracker) retransmitFactor(c *candidate, medianRate float64) float64 {
	if c.evidence.openings < t.settings.MinOpenings {
		return 1
	}
	if c.evidence.retransmitRate() <= max(outlierRetransmitRatio*medianRate, minOutlierRetransmitRate) {
		return 1
	}
	return outlierRetransmitFactor
}

// meanLoad is the mean reported load, weighted by the freshness of the reports; 0
// without fresh reports.
func (t *Tracker) meanLoad(now time.Time, candidates []*candidate) float64 {
	sum, weights := 0.0, 0.0
	for _, c := range candidates {
		weight := c.report.freshness(now, t.settings.MaxLoadAge)
		sum += weight * c.report.load
		weights += weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// referenceSuccess is the median success rate of the targets with at least
// MinOpenings; of an even number of targets, the upper median. It is 0 without any.
func (t *Tracker) referenceSuccess(candidates []*candidate) float64 {
	var rates []float64
	for _, c := range candidates {
		if c.evidence.openings >= t.settings.MinOpenings {
			rates = append(rates, c.evidence.successRate())
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

func medianRetransmitRate(candidates []*candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	rates := make([]float64, 0, len(candidates))
	for _, c := range candidates {
		rates = append(rates, c.evidence.retransmitRate())
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}

// roundShare rounds a share to a multiple of ShareStep from MinShare to FullShare.
func roundShare(share float64) uint32 {
	steps := math.Round(share / ShareStep)
	return uint32(min(max(steps*ShareStep, MinShare), FullShare))
}
