package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// tick is a coarse time: the number of tickLength since the engine's first call.
type tick uint32

// tickLength is the resolution of record times.
const tickLength = 100 * time.Millisecond

// ticks converts a duration to ticks, rounding up.
func ticks(d time.Duration) tick {
	return tick((d + tickLength - 1) / tickLength)
}

// phase is the state of a flow record.
type phase uint8

// Phases.
const (
	// phaseOpening is a flow of which only opening packets were seen.
	phaseOpening phase = iota
	// phaseOpen is a flow of which a mid-flow packet was seen, that is, a packet
	// after the opening.
	phaseOpen
	// phaseClosing is a flow whose caller has sent FIN or RST.
	phaseClosing
	// phaseRefused is a refused flow; the record exists to repeat the refusal.
	phaseRefused
)

// flag is a set of bits of a record.
type flag uint8

const (
	// flagTentative marks a verdict that the second owner may still overrule.
	flagTentative flag = 1 << iota
	// flagFallback marks a target that was derived by the fallback to the lookup
	// table instead of taken from a record.
	flagFallback
	// flagFlowCounted marks a flow that is counted in its target's
	// TargetCounters.OpenFlows, as this host is its first owner.
	flagFlowCounted
	// flagRecordCounted marks a record that is counted in its target's
	// TargetCounters.FlowRecords.
	flagRecordCounted
	// flagReset marks a silent flow whose caller was sent a RST.
	flagReset
)

// record is the state of a flow at a host. It holds no pointers, and its size is
// part of the memory bound.
type record struct {
	fingerprint state.Fingerprint
	target      state.TargetNumber
	service     state.ServiceNumber
	// next links the records of one bucket, or the free slots.
	next slot
	// lastSeen is when the flow's last packet was seen here.
	lastSeen tick
	// refreshedAt is when the record was last created or copied, or a packet of
	// the flow last went through both owners.
	refreshedAt tick
	// ownerSignature is the signature of the owner pair that holds the record.
	ownerSignature uint32
	// progress is the folded Packet.Progress of the last packet with data.
	progress uint32
	// stalledAt is the time of the first retransmission since the last progress.
	stalledAt tick
	// completedAtStall is TargetCounters.Completed at stalledAt, cut to 32 bits.
	completedAtStall uint32
	// retryAfter is the wait in the answer to a refused caller, in units of
	// 10 ms.
	retryAfter uint16
	// retransmissions counts the retransmissions of data since the last progress,
	// up to maxRetransmissions.
	retransmissions uint8
	phase           phase
	flags           flag
	reason          Reason
}

// has reports whether a flag is set.
func (r *record) has(f flag) bool { return r.flags&f != 0 }

func (r *record) set(f flag) { r.flags |= f }

func (r *record) clear(f flag) { r.flags &^= f }

// hasTarget reports whether the record's verdict is to forward to a target.
func (r *record) hasTarget() bool { return r.phase != phaseRefused }
