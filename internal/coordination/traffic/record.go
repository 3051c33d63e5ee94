package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// tick is a coarse time: tickLength since the engine's first call.
type tick uint32

// tickLength is the resolution of record times.
const tickLength = 100 * time.Millisecond

// ticks converts a duration, rounding up.
func ticks(d time.Duration) tick {
	return tick((d + tickLength - 1) / tickLength)
}

// phase is the state of a flow record.
type phase uint8

// Phases.
const (
	// phaseOpening has seen openings alone.
	phaseOpening phase = iota
	// phaseOpen has seen a packet in mid-flow.
	phaseOpen
	// phaseClosing has seen FIN or RST from the caller.
	phaseClosing
	// phaseRefused remembers a refusal.
	phaseRefused
)

// flag bits of a record.
type flag uint8

const (
	// flagTentative marks a verdict that the second owner may still overrule.
	flagTentative flag = 1 << iota
	// flagFallback marks a target found by the fallback, not from a record.
	flagFallback
	// flagFlowCounted marks a flow counted in TargetLoad.OpenFlows of this host.
	flagFlowCounted
	// flagRecordCounted marks a flow counted in TargetLoad.Records.
	flagRecordCounted
	// flagReset marks a silent flow whose caller was reset.
	flagReset
)

// record is what an owner keeps of a flow. It holds no pointers; its size is
// part of the memory bound.
type record struct {
	fingerprint state.Fingerprint
	target      state.TargetNumber
	service     state.ServiceNumber
	// next links records of one bucket and the free list.
	next slot
	// lastSeen is the time of the flow's last packet here.
	lastSeen tick
	// refreshedAt is the last time that a packet went through the second owner.
	refreshedAt tick
	// ownerSignature is the signature of the owner ownerSignature that holds the record.
	ownerSignature uint32
	// progress is the folded Packet.Progress of the last packet with data.
	progress uint32
	// stalledAt is the time of the first retransmission without progress.
	stalledAt tick
	// completedAtStall is TargetLoad.Completed at stalled, shortened.
	completedAtStall uint32
	// retryAfter is what a refused caller was told, in units of 10 ms.
	retryAfter      uint16
	retransmissions uint8
	phase           phase
	flags           flag
	reason          Reason
}

// has reports whether a flag is set.
func (r *record) has(f flag) bool { return r.flags&f != 0 }

// set sets a flag.
func (r *record) set(f flag) { r.flags |= f }

// clear clears a flag.
func (r *record) clear(f flag) { r.flags &^= f }

// hasTarget reports whether the record names a target.
func (r *record) hasTarget() bool { return r.phase != phaseRefused }
