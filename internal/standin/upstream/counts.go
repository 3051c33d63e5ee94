package upstream

import (
	"net/netip"
	"sync/atomic"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Counts are the totals of one upstream since its start; Open is a current value.
type Counts struct {
	Target  state.TargetID `json:"target"`
	Service netip.AddrPort `json:"service"`
	// Opened counts flows whose first packet arrived, Open those not yet ended.
	Opened int64 `json:"opened"`
	Open   int64 `json:"open"`
	// Run counts requests that were started, RunTwice non-idempotent ones that had
	// been started before on any upstream of the process.
	Run      int64 `json:"run"`
	RunTwice int64 `json:"run_twice"`
	// Shed counts requests rejected because all slots and the queue were full.
	Shed int64 `json:"shed"`
	// WrongService counts packets whose destination or protocol is not the service's.
	WrongService int64 `json:"wrong_service"`
	// NeverOpened counts TCP packets with payload of flows unknown here.
	NeverOpened int64 `json:"never_opened"`
	// BareUnknown counts TCP packets without payload of flows unknown here: flows
	// that were never opened here, or that ended long ago. Resets do not count.
	BareUnknown int64 `json:"bare_unknown"`
	// OverLimit counts SYNs rejected because of the connection limit.
	OverLimit int64 `json:"over_limit"`
	// AfterDrain counts flows opened more than drainGrace after the drain began.
	AfterDrain int64 `json:"after_drain"`
	// Reset and TimedOut count TCP flows that ended with a reset or a timeout.
	Reset    int64 `json:"reset"`
	TimedOut int64 `json:"timed_out"`
	// Malformed counts packets and requests that could not be decoded.
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
