package health

import (
	"cmp"
	"time"
)

// Settings of a Tracker. Zero fields take the default values.
type Settings struct {
	// HalfLife is the time in which evidence loses half its weight.
	HalfLife time.Duration
	// MinOpenings is the number of openings, after decay, below which a target's success
	// rate is not assessed.
	MinOpenings float64
	// MinSuccess is the fraction of the service's median success rate below which a
	// target is an outlier.
	MinSuccess float64
	// MaxEjected is the largest fraction of a service's targets ejected at the same
	// time. One of two or more targets may always be.
	MaxEjected float64
	// PanicThreshold is the fraction of healthy targets below which health is ignored.
	PanicThreshold float64
	// EjectFor is the length of a first ejection. Each repeated one is longer by
	// EjectFor, up to EjectMax.
	EjectFor time.Duration
	EjectMax time.Duration
	// SlowStart is the time in which the share of a new or reinstated target grows to
	// its full size.
	SlowStart time.Duration
	// MaxLoadAge is the age at which a load report has no effect any more.
	MaxLoadAge time.Duration
}

// Default values of Settings.
const (
	DefaultHalfLife       = 5 * time.Second
	DefaultMinOpenings    = 10.0
	DefaultMinSuccess     = 0.5
	DefaultMaxEjected     = 0.3
	DefaultPanicThreshold = 0.5
	DefaultEjectFor       = 10 * time.Second
	DefaultEjectMax       = 5 * time.Minute
	DefaultSlowStart      = 30 * time.Second
	DefaultMaxLoadAge     = 15 * time.Second
)

// reportRetention is how long after its receipt a report is kept if its target is
// missing from the list.
const reportRetention = 10 * time.Minute

// Shares, in thousandths.
const (
	// FullShare is the share of a target that no factor lowers.
	FullShare = 1000
	// MinShare is the smallest share of a target that is not ejected.
	MinShare = 50
	// ShareStep is the granularity of shares, so that small changes are not published.
	ShareStep = 50
)

// Bounds and thresholds of the factors of a share.
const (
	// initialFactor is the fraction of its share that a target has when slow start
	// begins.
	initialFactor = 0.1
	// minLoadFactor and maxLoadFactor bound the effect of a target's own load report.
	minLoadFactor = 0.5
	maxLoadFactor = 1.2
	// loadTolerance is the difference from the service's mean load that has no effect.
	loadTolerance = 0.1
	// healthySuccess is the fraction of the service's median success rate below which
	// the share falls. At or above it a target is proven healthy.
	healthySuccess = 0.9
	// minReferenceSuccess is the median success rate below which success is not assessed.
	minReferenceSuccess = 0.5
	// minSuccessFactor bounds the effect of a low success rate on the share of a target
	// that is not ejected.
	minSuccessFactor = 0.2
	// A target with more retransmissions per opening than outlierRetransmitRatio times
	// the service's median has its share multiplied by outlierRetransmitFactor. Up to
	// minOutlierRetransmitRate nothing happens, so that noise has no effect.
	outlierRetransmitRatio   = 3.0
	minOutlierRetransmitRate = 0.2
	outlierRetransmitFactor  = 0.7
)

func (s Settings) withDefaults() Settings {
	s.HalfLife = cmp.Or(s.HalfLife, DefaultHalfLife)
	s.MinOpenings = cmp.Or(s.MinOpenings, DefaultMinOpenings)
	s.MinSuccess = cmp.Or(s.MinSuccess, DefaultMinSuccess)
	s.MaxEjected = cmp.Or(s.MaxEjected, DefaultMaxEjected)
	s.PanicThreshold = cmp.Or(s.PanicThreshold, DefaultPanicThreshold)
	s.EjectFor = cmp.Or(s.EjectFor, DefaultEjectFor)
	s.EjectMax = cmp.Or(s.EjectMax, DefaultEjectMax)
	s.SlowStart = cmp.Or(s.SlowStart, DefaultSlowStart)
	s.MaxLoadAge = cmp.Or(s.MaxLoadAge, DefaultMaxLoadAge)
	return s
}
