package traffic

import (
	"cmp"
	"time"
)

// Placement selects how a new flow gets its target.
type Placement uint8

// Placements.
const (
	// PlaceBoundedLoad is consistent hashing with bounded loads: it takes the
	// first target of the flow's hash sequence that is below its load bound.
	PlaceBoundedLoad Placement = iota
	// PlaceHash takes the hash's target regardless of its load.
	PlaceHash
	// PlaceTwoChoices takes the less loaded of two random targets.
	PlaceTwoChoices
)

// Settings configures an Engine. Zero fields take their default.
type Settings struct {
	// MaxRecords is the largest number of flow records of the engine.
	MaxRecords int
	// Placement selects how new flows are placed.
	Placement Placement
	// LoadBoundMilli is the load bound of PlaceBoundedLoad relative to the mean, in
	// thousandths.
	LoadBoundMilli uint32
	// SettleTime is how long after the start of the process, or after a change of
	// the hosts in a flow's home domain, the engine neither refuses flows nor falls
	// back to the lookup table.
	SettleTime time.Duration
	// OwnerOverlap is how long after a change of owners an opening also visits the
	// previous owner.
	OwnerOverlap time.Duration
	// CutOffWait is how long no packet falls back to the base table after a failure
	// domain lost all its hosts: the hosts may be cut off by a network partition
	// and still hold the flow's record.
	CutOffWait time.Duration
	// SearchRate is the largest number of searches for records that the engine
	// starts per second. It keeps packets that belong to no flow from occupying
	// other hosts.
	SearchRate int
	// IdleTimeout applies to services without an idle timeout of their own.
	IdleTimeout time.Duration
	// OpeningTimeout expires the record of a flow that sent only opening packets.
	OpeningTimeout time.Duration
	// ClosingTimeout expires the record of a flow whose caller sent FIN or RST.
	ClosingTimeout time.Duration
	// RetryAfter is the time after which refused callers may try again.
	RetryAfter time.Duration
	// SilentTimeout is the shortest time without progress after which a flow that
	// only retransmits is reset.
	SilentTimeout time.Duration
	// NewFlowRate limits the new flows per second of the engine, which customers
	// share; 0 means no limit.
	NewFlowRate float64
	// PinOpenings keeps each flow at its first target even if that does not answer
	// the opening. Tests use it to show the effect of moving such flows.
	PinOpenings bool
	// SingleOwner disables the second owner and the search for records. Tests use
	// it to show the effect of both.
	SingleOwner bool
}

// Defaults of Settings.
const (
	DefaultMaxRecords     = 1 << 17
	DefaultLoadBoundMilli = 1020
	DefaultSettleTime     = 500 * time.Millisecond
	DefaultOwnerOverlap   = 3 * time.Second
	DefaultCutOffWait     = time.Minute
	DefaultSearchRate     = 10_000
	DefaultIdleTimeout    = 5 * time.Minute
	DefaultOpeningTimeout = 20 * time.Second
	DefaultClosingTimeout = 30 * time.Second
	DefaultRetryAfter     = 2 * time.Second
	DefaultSilentTimeout  = 6 * time.Second
)

// withDefaults returns the settings with zero fields set to their defaults.
func (s Settings) withDefaults() Settings {
	s.MaxRecords = cmp.Or(s.MaxRecords, DefaultMaxRecords)
	s.LoadBoundMilli = cmp.Or(s.LoadBoundMilli, DefaultLoadBoundMilli)
	s.SettleTime = cmp.Or(s.SettleTime, DefaultSettleTime)
	s.OwnerOverlap = cmp.Or(s.OwnerOverlap, DefaultOwnerOverlap)
	s.CutOffWait = cmp.Or(s.CutOffWait, DefaultCutOffWait)
	s.SearchRate = cmp.Or(s.SearchRate, DefaultSearchRate)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, DefaultIdleTimeout)
	s.OpeningTimeout = cmp.Or(s.OpeningTimeout, DefaultOpeningTimeout)
	s.ClosingTimeout = cmp.Or(s.ClosingTimeout, DefaultClosingTimeout)
	s.RetryAfter = cmp.Or(s.RetryAfter, DefaultRetryAfter)
	s.SilentTimeout = cmp.Or(s.SilentTimeout, DefaultSilentTimeout)
	return s
}
