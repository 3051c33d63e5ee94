package traffic

import "github.com/guavawharf/guavawharf/internal/state"

// Signs of a silent flow.
const (
	// silentRetransmissions is the number of retransmissions without progress.
	silentRetransmissions = 4
	// silentCompletions is the number of other flows that must have opened at
	// the target meanwhile: a dead target opens none.
	silentCompletions = 3
	// probePayload is the largest payload of keepalives and of zero-window
	// probes, in bytes. They repeat by design and count for nothing.
	probePayload = 1
)

// foldProgress shortens a Packet.Progress for a record. It is never 0.
func foldProgress(progress uint64) uint32 {
	return uint32(mix64(progress)>>32) | 1
}

// checkSilent notes the progress of a flow by one of its packets and reports whether
// the caller only retransmits while its target does well for others.
func (e *Engine) checkSilent(f *flow, r *record, target *state.TargetEntry) bool {
	p := f.packet
	if p.Kind != KindData || p.PayloadSize <= probePayload {
		return false
	}
	progress := foldProgress(p.Progress)
	completed := uint32(target.Load.Completed.Load())
	if progress != r.progress {
		r.progress = progress
		r.retransmissions = 0
		return false
	}
	if r.retransmissions == 0 {
		r.stalledAt = e.tick
		r.completedAtStall = completed
	}
	r.retransmissions = min(r.retransmissions+1, maxRetransmissions)
	if r.has(flagFlowCounted) {
		target.Load.Retransmits.Add(1)
	}
	if r.has(flagReset) || r.retransmissions < silentRetransmissions || e.tick-r.stalledAt < ticks(e.settings.SilentTimeout) {
		return false
	}
	return completed-r.completedAtStall >= silentCompletions
}

// maxRetransmissions bounds record.repeats.
const maxRetransmissions = 1<<8 - 1

// resetSilent ends a silent flow towards its caller, once.
func (e *Engine) resetSilent(r *record) Decision {
	r.set(flagReset)
	r.phase = phaseClosing
	return Decision{Action: ActionReset, Reason: ReasonSilentFlow}
}
