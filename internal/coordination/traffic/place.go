package traffic

import (
	"github.com/guavawharf/guavawharf/internal/state"
)

// maxSequence is the number of steps tried along a flow's hash sequence.
const maxSequence = 64

// decideNewFlow returns the verdict on a new flow.
func (e *Engine) decideNewFlow(f *flow) flowVerdict {
	if e.flowRecords() >= e.recordLimit(openingShareMilli) {
		return e.refuseNew(f, ReasonTableFull)
	}
	if reason := e.admit(f.routes.entry.Customer); reason != ReasonNone {
		return e.refuseNew(f, reason)
	}
	target, reason := e.chooseTarget(f)
	if target == nil {
		return e.refuseNew(f, reason)
	}
	v := forwardVerdict(target.Number)
	v.flags = headerTentative
	return v
}

// refuseNew refuses a new flow. It returns no verdict if this host is too new to
// know that no packet of the flow was forwarded before.
func (e *Engine) refuseNew(f *flow, reason Reason) flowVerdict {
	if !e.settled(f.owners.home) {
		return noVerdict(ReasonUnsettled)
	}
	return refuseVerdict(reason, e.settings.RetryAfter)
}

// chooseTarget chooses the target of a new flow, preferably in the flow's
// preferred domain. It returns nil and the reason if no target is available.
func (e *Engine) chooseTarget(f *flow) (*state.TargetEntry, Reason) {
	preferred := f.routes.preferredDomain(f.packet.Fingerprint)
	if target := e.chooseTargetIn(f, preferred); target != nil {
		return target, ReasonNone
	}
	if target := e.chooseTargetIn(f, anyDomain); target != nil {
		return target, ReasonNone
	}
	for _, target := range f.routes.entry.TargetEntries {
		if usable(target) {
			return nil, ReasonConnectionLimit
		}
	}
	return nil, ReasonNoTarget
}

// anyDomain stands for all failure domains.
const anyDomain state.DomainID = ""

// inDomain reports whether a target belongs to a domain, which may be anyDomain.
func inDomain(t *state.TargetEntry, domain state.DomainID) bool {
	return domain == anyDomain || t.Domain == domain
}

// usable reports whether a target may receive new flows, apart from its
// connection limit.
func usable(t *state.TargetEntry) bool {
	return !t.Leaving && !t.Withdrawn && !t.Ejected && t.Weight > 0 && t.ShareMilli > 0
}

// chooseTargetIn chooses a target of a domain. It returns nil if none has room.
func (e *Engine) chooseTargetIn(f *flow, domain state.DomainID) *state.TargetEntry {
	switch e.settings.Placement {
	case PlaceHash:
		return e.firstInSequence(f, domain, nil)
	case PlaceTwoChoices:
		return e.twoChoicesTarget(f, domain)
	default:
		return e.boundedLoadTarget(f, domain)
	}
}

// boundedLoadTarget returns the first target of the hash sequence that is below
// its load bound, or else the least loaded target.
func (e *Engine) boundedLoadTarget(f *flow, domain state.DomainID) *state.TargetEntry {
	group := e.sumLoad(f.routes.entry, domain)
	if target := e.firstInSequence(f, domain, &group); target != nil {
		return target
	}
	return e.leastLoaded(f, domain)
}

// groupLoad holds the open flows and the shares of a domain's usable targets,
// summed up.
type groupLoad struct {
	flows  int64
	shares int64
}

// sumLoad returns the load of the usable targets of a domain.
func (e *Engine) sumLoad(entry *state.ServiceEntry, domain state.DomainID) groupLoad {
	var g groupLoad
	for _, t := range entry.TargetEntries {
		if !usable(t) || !inDomain(t, domain) {
			continue
		}
		g.flows += load(t)
		g.shares += share(t)
	}
	return g
}

// bound returns the number of flows below which a target accepts one more.
func (g groupLoad) bound(t *state.TargetEntry, boundMilli uint32) int64 {
	if g.shares == 0 {
		return 0
	}
	scaled := (g.flows + 1) * share(t) * int64(boundMilli)
	total := g.shares * 1000
	return (scaled + total - 1) / total
}

// share returns a target's share of the flows of its group, in thousandths of a
// weight.
func share(t *state.TargetEntry) int64 {
	return int64(t.Weight) * int64(t.ShareMilli)
}

// load returns the number of flows at a target of which this host is first owner.
func load(t *state.TargetEntry) int64 {
	return max(t.Counters.OpenFlows.Load(), 0)
}

// hasRoom reports whether a target may receive the flow: it is usable, it is not
// the one to avoid, and it is below its limit.
func (e *Engine) hasRoom(f *flow, t *state.TargetEntry) bool {
	return usable(t) && t.Number != f.avoid && e.belowLimit(f, t)
}

// belowLimit reports whether a target is below this host's part of its
// connection limit, which the hosts that place flows on it share equally.
func (e *Engine) belowLimit(f *flow, t *state.TargetEntry) bool {
	if t.Connections == 0 {
		return true
	}
	owners := f.routes.view.placingHosts(t.Domain)
	return load(t)*int64(owners) < int64(t.Connections)
}

// placingHosts returns the number of hosts that place flows on targets of a
// domain: the alive hosts of the domain, or all alive hosts if it has none.
func (v *viewIndex) placingHosts(id state.DomainID) int {
	if domain := v.domain(id); domain != nil && len(domain.alive) > 0 {
		return len(domain.alive)
	}
	return max(v.alive, 1)
}

// firstInSequence returns the first target of the flow's hash sequence that is in
// the domain, has room and, unless group is nil, is below its load bound. It
// returns nil if there is none.
func (e *Engine) firstInSequence(f *flow, domain state.DomainID, group *groupLoad) *state.TargetEntry {
	table := f.routes.entry.Tables[0]
	for i := uint64(0); i < maxSequence; i++ {
		t := e.snap.Targets[table.Lookup(sequenceHash(f.packet.Fingerprint, i))]
		if t == nil || !inDomain(t, domain) || !e.hasRoom(f, t) {
			continue
		}
		if group == nil || load(t) < group.bound(t, e.settings.LoadBoundMilli) {
			return t
		}
	}
	return nil
}

// sequenceHash returns the i-th hash of a flow's hash sequence.
func sequenceHash(fp state.Fingerprint, i uint64) uint64 {
	if i == 0 {
		return fp.Low
	}
	return mix64(fp.Low + i)
}

// tableTarget returns the target that a lookup table alone gives a flow, or nil
// if the table is empty.
func (e *Engine) tableTarget(f *flow, table *state.LookupTable) *state.TargetEntry {
	preferred := f.routes.preferredDomainIgnoringHosts(f.packet.Fingerprint)
	var otherDomain *state.TargetEntry
	for i := uint64(0); i < maxSequence; i++ {
		t := e.snap.Targets[table.Lookup(sequenceHash(f.packet.Fingerprint, i))]
		if t == nil {
			continue
		}
		if inDomain(t, preferred) {
			return t
		}
		if otherDomain == nil {
			otherDomain = t
		}
	}
	return otherDomain
}

// leastLoaded returns the target of a domain that has room and the lowest load
// relative to its share. It returns nil if none has room.
func (e *Engine) leastLoaded(f *flow, domain state.DomainID) *state.TargetEntry {
	var best *state.TargetEntry
	for _, t := range f.routes.entry.TargetEntries {
		if !inDomain(t, domain) || !e.hasRoom(f, t) {
			continue
		}
		if best == nil || lessLoaded(t, best) {
			best = t
		}
	}
	return best
}

// lessLoaded reports whether a has less load relative to its share than b.
func lessLoaded(a, b *state.TargetEntry) bool {
	return load(a)*share(b) < load(b)*share(a)
}

// twoChoicesTarget returns the less loaded of two random targets of a domain that
// have room, or nil if none has.
func (e *Engine) twoChoicesTarget(f *flow, domain state.DomainID) *state.TargetEntry {
	a := e.randomTarget(f, domain)
	b := e.randomTarget(f, domain)
	if a == nil || b == nil || lessLoaded(a, b) {
		return a
	}
	return b
}

// randomTarget returns a random target of a domain that has room, or nil if none
// has.
func (e *Engine) randomTarget(f *flow, domain state.DomainID) *state.TargetEntry {
	var chosen *state.TargetEntry
	seen := 0
	for _, t := range f.routes.entry.TargetEntries {
		if !inDomain(t, domain) || !e.hasRoom(f, t) {
			continue
		}
		seen++
		if e.random.IntN(seen) == 0 {
			chosen = t
		}
	}
	return chosen
}
