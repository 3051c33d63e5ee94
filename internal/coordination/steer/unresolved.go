package steer

import (
	"maps"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Limits of the table of unresolved flows.
const (
	maxUnresolvedFlows     = 4096
	unresolvedFlowLifetime = time.Minute
	// maxUnresolvedAdvance is the number of bytes by which the sequence numbers of a flow's
	// packets may differ while it is unresolved. One that differs by more belongs to a later
	// flow of the same client port.
	maxUnresolvedAdvance = 1 << 17
)

// unresolvedFlows holds the flows whose packets this host can't place by what it has read.
// Another host may have read more and may have opened the flow by that, so that a flow is
// ended only after a read that was requested since its first packet here. That one flow of
// a route or at a target has ended proves nothing about the next one: the route may be back
// by then, and the target may have started again under its ID.
type unresolvedFlows struct {
	flows map[state.FlowKey]unresolvedFlow
	// configReadAt and targetsReadAt are when the newest answered reads of the configuration
	// and of the targets were requested.
	configReadAt  time.Duration
	targetsReadAt time.Duration
	// requested are the reads to make now.
	requested ReadRequests
}

// unresolvedFlow is the first packet of a flow that this host could not place.
type unresolvedFlow struct {
	seq  uint32
	seen time.Duration
}

// near reports whether a packet with the sequence number seq may belong to the flow.
func (f unresolvedFlow) near(seq uint32) bool {
	advance := int32(seq - f.seq)
	return -maxUnresolvedAdvance <= advance && advance <= maxUnresolvedAdvance
}

// ReadRequests are the kinds of objects that a decision needs to have read now.
type ReadRequests struct {
	Config  bool
	Targets bool
}

// configReadSinceSeen reports whether a read of the configuration was requested after the
// packet's flow was first seen, and has been answered. Otherwise it requests one.
func (u *unresolvedFlows) configReadSinceSeen(now time.Duration, p *Packet) bool {
	if u.configReadAt > u.firstSeen(now, p) {
		return true
	}
	u.requested.Config = true
	return false
}

// targetsReadSinceSeen is configReadSinceSeen for the targets.
func (u *unresolvedFlows) targetsReadSinceSeen(now time.Duration, p *Packet) bool {
	if u.targetsReadAt > u.firstSeen(now, p) {
		return true
	}
	u.requested.Targets = true
	return false
}

// firstSeen returns when the first unresolved packet of the flow was seen; now if it is this
// one or if the table is full.
func (u *unresolvedFlows) firstSeen(now time.Duration, p *Packet) time.Duration {
	key := p.key()
	known, found := u.flows[key]
	if found && known.near(p.Seq) {
		return known.seen
	}
	if found || len(u.flows) < maxUnresolvedFlows {
		u.flows[key] = unresolvedFlow{seq: p.Seq, seen: now}
	}
	return now
}

// resolve forgets a flow whose packet can be placed.
func (u *unresolvedFlows) resolve(p *Packet) {
	if len(u.flows) > 0 {
		delete(u.flows, p.key())
	}
}

// sweep removes the flows that were first seen more than unresolvedFlowLifetime ago.
func (u *unresolvedFlows) sweep(now time.Duration) {
	maps.DeleteFunc(u.flows, func(_ state.FlowKey, f unresolvedFlow) bool {
		return now-f.seen > unresolvedFlowLifetime
	})
}

// SetConfigReadAt sets when the newest answered read of the configuration was requested.
// The view in force must already hold the result of that read.
func (e *Engine) SetConfigReadAt(at time.Duration) { e.unresolved.configReadAt = at }

// SetTargetsReadAt sets when the latest answered read of the targets was requested.
// The view in force must already hold the result of that read.
func (e *Engine) SetTargetsReadAt(at time.Duration) { e.unresolved.targetsReadAt = at }

// DrainReadRequests returns the reads requested since the last call.
func (e *Engine) DrainReadRequests() ReadRequests {
	requested := e.unresolved.requested
	e.unresolved.requested = ReadRequests{}
	return requested
}
