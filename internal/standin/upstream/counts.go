package upstream

import (
	"net/netip"
	"sync/atomic"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Counts is what one upstream has seen.
type Counts struct {
	Target  state.TargetID `json:"target"`
	Service netip.AddrPort `json:"service"`
	// Opened counts flows whose first packet came, Open those not yet ended.
	Opened int64 `json:"opened"`
	Open   int64 `json:"open"`
	// Run counts requests run, RunTwice those that had been run before on any
	// upstream of the process.
	Run      int64 `json:"run"`
	RunTwice int64 `json:"run_twice"`
	Shed     int64 `json:"shed"`
	// WrongService counts packets whose destination is another service.
	WrongService int64 `json:"wrong_service"`
	// NeverOpened counts payloads of flows that were not opened here.
	NeverOpened int64 `json:"never_opened"`
	// BareUnknown counts packets without payload of flows unknown here: flows
	// that were never opened here, or that ended long ago.
	BareUnknown int64 `json:"bare_unknown"`
	// OverLimit counts openings above the connection limit.
	OverLimit int64 `json:"over_limit"`
	// AfterDrain counts flows opened long after the drain began.
	AfterDrain int64 `json:"after_drain"`
	// Reset and TimedOut count flows that ended so.
	Reset     int64 `json:"reset"`
	TimedOut  int64 `json:"timed_out"`
	Malformed int64 `json:"malformed"`
}

type counts struct {
	opened, open, run, runTwice, shed    atomic.Int64
	wrongService, neverOpened, overLimit atomic.Int64
	afterDrain, reset, timedOut          atomic.Int64
	malformed, bareUnknown               atomic.Int64
}

func (c *counts) snapshot(id state.TargetID, service netip.AddrPort) Counts {
	return Counts{
		Target:       id,
		Service:      service,
		Opened:       c.opened.Load(),
		Open:         c.open.Load(),
		Run:          c.run.Load(),
		RunTwice:     c.runTwice.Load(),
		Shed:         c.shed.Load(),
		WrongService: c.wrongService.Load(),
		NeverOpened:  c.neverOpened.Load(),
		BareUnknown:  c.bareUnknown.Load(),
		OverLimit:    c.overLimit.Load(),
		AfterDrain:   c.afterDrain.Load(),
		Reset:        c.reset.Load(),
		TimedOut:     c.timedOut.Load(),
		Malformed:    c.malformed.Load(),
	}
}
