package traffic

import "github.com/guavawharf/guavawharf/internal/state"

// Signs of a silent flow.
const (
	// silentRepeats is the number of retransmissions without progress.
	silentRepeats = 4
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

// silent notes the progress of a flow by one of its packets and reports whether
// the caller only retransmits while its target does well for others.
func (e *Engine) silent(f *flow, r *record, target *state.TargetEntry) bool {
	p := f.packet
	if p.Kind != KindData || p.PayloadSize <= probePayload {
		return false
	}
	progress := foldProgress(p.Progress)
	completed := uint32(target.Load.Completed.Load())
	if progress != r.progress {
		r.progress = progress
		r.repeats = 0
		return false
	}
	if r.repeats == 0 {
		r.stalled = e.tick
		r.completed = completed
	}
	r.repeats = min(r.repeats+1, maxRepeats)
	if r.has(flagCounted) {
		target.Load.Retransmits.Add(1)
	}
	if r.has(flagReset) || r.repeats < silentRepeats || e.tick-r.stalled < ticks(e.settings.SilentTimeout) {
		return false
	}
	return completed-r.completed >= silentCompletions
}

// maxRepeats bounds record.repeats.
const maxRepeats = 1<<8 - 1

// resetSilent ends a silent flow towards its caller, once.
func (e *Engine) resetSilent(r *record) Decision {
	r.set(flagReset)
	r.phase = phaseClosing
	return Decision{Action: ActionReset, Reason: ReasonSilentFlow}
}
