package traffic

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Limits of a search.
const (
	// searchHostsPerDomain is the number of hosts visited in each failure domain.
	searchHostsPerDomain = 3
	// maxSearchDomains is the largest number of failure domains visited.
	maxSearchDomains = 16
)

// searchOrder is the order in which hosts are searched for a flow's record: the
// two best hosts of the best domain, then the best host of each other domain,
// then the second and the third best hosts. It depends on the view alone, so
// that hosts with different releases agree on it. In relay.Header.Position, 0 is
// the first owner and i is the host with index i-1 of the order.
type searchOrder struct {
	domains [maxSearchDomains]*domainCandidates
	len     int
	fp      state.Fingerprint
}

// newSearchOrder ranks the domains of a view for a flow.
func newSearchOrder(view *viewIndex, fp state.Fingerprint) searchOrder {
	o := searchOrder{fp: fp}
	o.len = copy(o.domains[:], view.domains)
	slices.SortFunc(o.domains[:o.len], func(a, b *domainCandidates) int {
		return cmp.Compare(mix64(fp.High^a.seed), mix64(fp.High^b.seed))
	})
	return o
}

// size returns the number of positions in the order, including those without a
// host.
func (o *searchOrder) size() int { return o.len * searchHostsPerDomain }

// host returns the host at an index, or nil if its domain has too few hosts.
func (o *searchOrder) host(index int) *ownerCandidate {
	domain, rank := index%o.len, index/o.len
	switch {
	case index == 1:
		domain, rank = 0, 1
	case index > 1 && index <= o.len:
		domain, rank = index-1, 0
	}
	return o.domains[domain].ranked(o.fp, rank)
}

// ranked returns the host at a rank of the rendezvous, counted from 0 and
// including leaving hosts. It returns nil if there are too few.
func (d *domainCandidates) ranked(fp state.Fingerprint, rank int) *ownerCandidate {
	var chosen *ownerCandidate
	limit := ^uint64(0)
	for range rank + 1 {
		chosen = nil
		highest := uint64(0)
		for _, h := range d.hosts {
			score := mix64(fp.Low ^ h.seed)
			if score < limit && (chosen == nil || score > highest) {
				chosen = h
				highest = score
			}
		}
		if chosen == nil {
			return nil
		}
		limit = highest
	}
	return chosen
}

// search relays a packet to the next host that may have its flow's record. The
// last host falls back to the lookup tables. A verdict that is already known,
// but whose target this host does not know, is sent with the packet.
func (e *Engine) search(f *flow) Decision {
	known := e.knownVerdict(f)
	if known.kind == relay.VerdictForward && e.snap.Targets[known.target] != nil {
		return e.forward(f.routes.entry.Number, known.target, ReasonNone)
	}
	hops, position := uint8(0), 0
	if f.packet.Relayed {
		hops = f.packet.Relay.Hops
		position = int(f.packet.Relay.Position)
	}
	if e.settings.SingleOwner || hops >= relay.MaxHops {
		return e.endSearch(f, known)
	}
	if position == 0 && !e.allowSearch() {
		return drop(ReasonSearchLimit)
	}
	order := newSearchOrder(e.view, f.packet.Fingerprint)
	for index := position; index < order.size(); index++ {
		if to := order.host(index); to != nil && !to.self {
			h := known.header(relay.KindPacket)
			h.Position = uint8(index + 1)
			return e.relayWithHeader(f, to, h, ReasonSearch)
		}
	}
	return e.endSearch(f, known)
}

// knownVerdict returns the verdict in the flow's record here or in the packet's
// header, or a verdict of VerdictNone if there is neither.
func (e *Engine) knownVerdict(f *flow) flowVerdict {
	if r := e.records.find(f.packet.Fingerprint); r != nil && r.hasTarget() {
		return verdictFromRecord(r)
	}
	if f.packet.Relayed && f.packet.Relay.Kind == relay.KindPacket {
		return verdictFromHeader(f.packet.Relay)
	}
	return flowVerdict{}
}

// endSearch ends a search after its last host.
func (e *Engine) endSearch(f *flow, known flowVerdict) Decision {
	if known.kind != relay.VerdictNone {
		return drop(ReasonUnknownTarget)
	}
	return e.fallBack(f)
}

// allowSearch counts a new search and reports whether it is within the limit of
// the current tick.
func (e *Engine) allowSearch() bool {
	if e.searchesAt != e.tick {
		e.searchesAt = e.tick
		e.searches = 0
	}
	e.searches++
	return e.searches <= e.settings.SearchRate*int(tickLength/time.Millisecond)/1000
}

// fallBack forwards a mid-flow packet to the target that the base table gives,
// the oldest lookup table kept, and marks the record as a fallback. It drops the
// packet if this process or the owners are new, or if a failure domain was lost
// recently: the record may be at another host, and a packet at the wrong target
// ends the flow.
func (e *Engine) fallBack(f *flow) Decision {
	if e.inheritedAddress[f.routes.entry.Number] {
		return drop(ReasonAddressReused)
	}
	if !e.settled(f.owners.home) || e.ownersChanged(f) {
		return drop(ReasonUnsettled)
	}
	tables := f.routes.entry.Tables
	target := e.tableTarget(f, tables[len(tables)-1])
	if target == nil {
		return drop(ReasonNoTarget)
	}
	if e.mayBeCutOff(target) {
		return drop(ReasonCutOff)
	}
	v := forwardVerdict(target.Number)
	v.flags = headerFallback | headerOpen
	d := e.forward(target.Service, target.Number, ReasonFallback)
	if e.flowRecords() >= e.recordLimit(crowdedShareMilli) {
		return d
	}
	if r := e.addRecord(f, v); r != nil {
		e.copyToOwners(f, r, &d)
	}
	return d
}

// presentDomainCutOffWait replaces Settings.CutOffWait for targets whose domain
// has hosts in the view: a packet that falls back wrongly reaches such a target,
// and flows opened by hosts that are cut off have other targets.
const presentDomainCutOffWait = 5 * time.Minute

// mayBeCutOff reports whether a failure domain was lost so recently that a
// fallback target may break a flow whose record is in that domain.
func (e *Engine) mayBeCutOff(target *state.TargetEntry) bool {
	wait := e.settings.CutOffWait
	if e.view.domain(target.Domain) != nil {
		wait = presentDomainCutOffWait
	}
	return e.now.Sub(e.view.domainLostAt) < wait
}

// mayBeOpenedByCutOffHost reports whether hosts that are cut off may have opened
// the flow: its opening went to an owner that has gone, a domain was lost, and
// this is the first mid-flow packet. The record here then names a target that
// may never have seen the flow.
func (e *Engine) mayBeOpenedByCutOffHost(f *flow, r *record) bool {
	if f.packet.Kind != KindData || r.phase != phaseOpening || !r.has(flagTentative) {
		return false
	}
	return r.ownerSignature != f.owners.signature() && e.now.Sub(e.view.domainLostAt) < e.settings.CutOffWait
}
