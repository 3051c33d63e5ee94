package health

import (
	"cmp"
	"time"
)

// Settings of a Tracker. Zero fields take the default values.
type Settings struct {
	// HalfLife is the time in which seen counts lose half their weight.
	HalfLife time.Duration
	// MinOpenings is the weight of openings below which success is not judged.
	MinOpenings float64
	// MinSuccess is the part of its service's median success below which a
	// target is an outlier.
	MinSuccess float64
	// MaxEjected is the largest share of a service's targets ejected at one time;
	// of two or more targets one always may be.
	MaxEjected float64
	// PanicThreshold is the share of well targets below which health is ignored.
	PanicThreshold float64
	// EjectFor is the length of a first ejection; repeated ones grow by as much,
	// up to EjectMax.
	EjectFor time.Duration
	EjectMax time.Duration
	// SlowStart is the time in which a new or returned target grows to a full
	// share.
	SlowStart time.Duration
	// MaxLoadAge is the age at which a load report counts for nothing.
	MaxLoadAge time.Duration
}

// Default values.
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

// reportRetention is how long a report is kept after the target left the list.
const reportRetention = 10 * time.Minute

// Shares, in thousandths.
const (
	// FullShare is the share of a target that nothing holds back.
	FullShare = 1000
	// MinShare is the smallest share of a target that is not ejected.
	MinShare = 50
	// ShareStep is the unit of shares, so that small changes are not published.
	ShareStep = 50
)

// Bounds of the single factors of a share.
const (
	// initialFactor is the part of its share that a new target begins with.
	initialFactor = 0.1
	// minLoadFactor and maxLoadFactor bound what a target's own load report can
	// take from it or give to it.
	minLoadFactor = 0.5
	maxLoadFactor = 1.2
	// loadTolerance is the distance from the service's mean load that has no
	// effect.
	loadTolerance = 0.1
	// healthySuccess is the part of the service's median success below which the
	// share falls.
	healthySuccess = 0.9
	// minReferenceSuccess is the median success below which success is not judged.
	minReferenceSuccess = 0.5
	// minSuccessFactor bounds the effect of success short of ejection.
	minSuccessFactor = 0.2
	// outlierRetransmitRatio times the service's median of retransmissions per opening is
	// what makes a target strained; strainFloor keeps noise from doing so.
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
