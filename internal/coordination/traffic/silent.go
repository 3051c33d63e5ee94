package traffic

import "github.com/guavawharf/guavawharf/internal/state"

// Thresholds of a silent flow: its caller only retransmits and makes no
// progress, while its target opens other flows.
const (
	// silentRetransmissions is the least number of retransmissions without
	// progress.
	silentRetransmissions = 4
	// silentCompletions is the least number of other flows that have opened at the
	// target in the meantime. A dead target opens none.
	silentCompletions = 3
	// probePayload is the largest payload in bytes of keepalives and zero-window
	// probes. They repeat by design, so they are ignored.
	probePayload = 1
)

// foldProgress shortens Packet.Progress to the size that a record holds. It is
// never 0.
func foldProgress(progress uint64) uint32 {
	return uint32(mix64(progress)>>32) | 1
}

// checkSilent updates the progress of a flow from a packet and reports whether
// the flow is silent: the caller only retransmits, but the target opens other
// flows.
func (e *Engine) checkSilent(f *flow, r *record, target *state.TargetEntry) bool {
	p := f.packet
	if p.Kind != KindData || p.PayloadSize <= probePayload {
		return false
	}
	progress := foldProgress(p.Progress)
	completed := uint32(target.Counters.Completed.Load())
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
		target.Counters.Retransmits.Add(1)
	}
	if r.has(flagReset) || r.retransmissions < silentRetransmissions || e.tick-r.stalledAt < ticks(e.settings.SilentTimeout) {
		return false
	}
	return completed-r.completedAtStall >= silentCompletions
}

// maxRetransmissions is the largest value of record.retransmissions.
const maxRetransmissions = 1<<8 - 1

// resetSilent sends a RST to the caller of a silent flow, once.
func (e *Engine) resetSilent(r *record) Decision {
	r.set(flagReset)
	r.phase = phaseClosing
	return Decision{Action: ActionReset, Reason: ReasonSilentFlow}
}
