package traffic

import (
	"cmp"
	"time"
)

// Placement selects how a new flow gets its target.
type Placement uint8

// Placements.
const (
	// PlaceBoundedLoad takes the hash's target unless it is above its bound, then
	// the next in the hash's sequence.
	PlaceBoundedLoad Placement = iota
	// PlaceHash takes the hash's target whatever its load.
	PlaceHash
	// PlaceTwoChoices takes the less loaded of two random targets.
	PlaceTwoChoices
)

// Settings are the tunables of an Engine. Zero fields take their default.
type Settings struct {
	// MaxRecords bounds the flow records of the engine.
	MaxRecords int
	// Placement selects how new flows are placed.
	Placement Placement
	// LoadBoundMilli is the bound of PlaceBounded over the mean, in thousandths.
	LoadBoundMilli uint32
	// SettleTime is how long a young process or view neither refuses nor falls back.
	SettleTime time.Duration
	// OwnerOverlap is how long after a change of owners an opening also visits the
	// owner before the change.
	OwnerOverlap time.Duration
	// CutOffWait is how long after a failure domain lost all its hosts no packet
	// falls back to the base table: the domain may be cut off, not dead.
	CutOffWait time.Duration
	// SearchRate bounds the searches for records that the engine begins a
	// second. Packets of no flow must not occupy other hosts.
	SearchRate int
	// IdleTimeout applies to services that give none.
	IdleTimeout time.Duration
	// OpeningTimeout ends the record of a flow that sent openings alone.
	OpeningTimeout time.Duration
	// ClosingTimeout ends the record of a flow that sent FIN or RST.
	ClosingTimeout time.Duration
	// RetryAfter is what refused callers are told.
	RetryAfter time.Duration
	// SilentTimeout is the least time without progress after which a flow that
	// only retransmits is reset.
	SilentTimeout time.Duration
	// NewFlowRate bounds the new flows a second of the engine, shared among
	// customers; 0 leaves them unbounded.
	NewFlowRate float64
	// PinOpenings keeps each opening at its first target. It exists to show what
	// moving unanswered openings is for.
	PinOpenings bool
	// SingleOwner switches the second owner and the search off. It exists to
	// show what they are for.
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

// withDefaults fills the zero fields.
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
