package steer

import "time"

// unresolvedFlows holds the flows whose packets this host can't place by what it has read.
// Another host may have read more and may have opened the flow by that, so that a flow is
// ended only after a read that was requested since its first packet here. That one flow of
// a route or at a target has ended proves nothing about the next one: the route may be back
// by then, and the target may have started again under its ID.
type unresolvedFlows struct {
	// flows are the first packets of open flows that could not be placed, syns the first
	// copies of SYNs: their flows may be opened after that.
	flows sightings
	syns  sightings
	// configReadAt and targetsReadAt are when the newest answered reads of the configuration
	// and of the targets were requested.
	configReadAt  time.Duration
	targetsReadAt time.Duration
	// requested are the reads to make now.
	requested ReadRequests
}

// ReadRequests are the kinds of objects that a decision needs to have read now.
type ReadRequests struct {
	Config  bool
	Targets bool
}

// configReadSinceSeen reports whether a read of the configuration was requested after the
// packet's flow was first seen, and has been answered. Otherwise it requests one.
func (u *unresolvedFlows) configReadSinceSeen(now time.Duration, p *Packet) bool {
	seen := u.flows
	if p.SYN {
		seen = u.syns
	}
	if u.configReadAt > seen.first(p.key(), p.Seq, now) {
		return true
	}
	u.requested.Config = true
	return false
}

// targetsReadSinceSeen is configReadSinceSeen for the targets.
func (u *unresolvedFlows) targetsReadSinceSeen(now time.Duration, p *Packet) bool {
	if u.targetsReadAt > u.flows.first(p.key(), p.Seq, now) {
		return true
	}
	u.requested.Targets = true
	return false
}

// resolve forgets what was seen of a flow whose packet can be placed.
func (u *unresolvedFlows) resolve(p *Packet) {
	if len(u.flows)+len(u.syns) == 0 {
		return
	}
	key := p.key()
	delete(u.flows, key)
	delete(u.syns, key)
}

// sweep removes what was seen too long ago.
func (u *unresolvedFlows) sweep(now time.Duration) {
	u.flows.sweep(now)
	u.syns.sweep(now)
}

// SetConfigReadAt sets when the newest answered read of the configuration was requested.
// The view in force must already hold the result of that read.
func (e *Engine) SetConfigReadAt(at time.Duration) { e.unresolved.configReadAt = at }

// SetTargetsReadAt sets when the newest answered read of the targets was requested.
// The view in force must already hold the result of that read.
func (e *Engine) SetTargetsReadAt(at time.Duration) { e.unresolved.targetsReadAt = at }

// DrainReadRequests returns the reads requested since the last call.
func (e *Engine) DrainReadRequests() ReadRequests {
	requested := e.unresolved.requested
	e.unresolved.requested = ReadRequests{}
	return requested
}
