package traffic

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Bounds of a search.
const (
	// searchHostsPerDomain is the number of hosts visited in each failure domain.
	searchHostsPerDomain = 3
	// maxSearchDomains bounds the failure domains visited.
	maxSearchDomains = 16
)

// searchOrder is the order in which a flow's record is searched for. It depends
// on the view alone, so that hosts with different releases agree on it: the two
// best hosts of the nearest domain, then the best host of each other domain,
// then the second and third best ones. Position 0 is the first owner; position
// i is the cell i-1 of the order.
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

// size is the number of size in the order.
func (o *searchOrder) size() int { return o.len * searchHostsPerDomain }

// host returns the host of a cell, nil if the domain has too few.
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

// ranked returns the host of a rank by rendezvous, leaving hosts included; nil
// if there are too few.
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

// search passes a packet on to the next host that may have its flow's record.
// The last one falls back to the tables. A verdict that is known already,
// with a target that this host does not know, goes along.
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

// knownVerdict returns the verdict of the flow's record here or of the packet's
// header; it has no verdict if there is neither.
func (e *Engine) knownVerdict(f *flow) flowVerdict {
	if r := e.records.find(f.packet.Fingerprint); r != nil && r.hasTarget() {
		return verdictFromRecord(r)
	}
	if f.packet.Relayed && f.packet.Relay.Kind == relay.KindPacket {
		return verdictFromHeader(f.packet.Relay)
	}
	return flowVerdict{}
}

// endSearch ends a search that no host could answer.
func (e *Engine) endSearch(f *flow, known flowVerdict) Decision {
	if known.kind != relay.VerdictNone {
		return drop(ReasonUnknownTarget)
	}
	return e.fallBack(f)
}

// allowSearch reports whether one more search may begin in this tick.
func (e *Engine) allowSearch() bool {
	if e.searchesAt != e.tick {
		e.searchesAt = e.tick
		e.searches = 0
	}
	e.searches++
	return e.searches <= e.settings.SearchRate*int(tickLength/time.Millisecond)/1000
}

// fallBack forwards a packet in mid-flow to the target that the base table
// gives, and records that it was a guess. It does so only when neither this
// process nor the owners are new and no failure domain has vanished lately: the
// record may be elsewhere, and a wrong guess ends the flow.
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

// presentDomainCutOffWait replaces Settings.CutOff for targets whose domain has hosts: a
// wrong guess reaches them, and flows opened beyond the cut have other targets.
const presentDomainCutOffWait = 5 * time.Minute

// mayBeCutOff reports whether a failure domain vanished so lately that a guess
// for a flow's target may harm a flow whose record is there.
func (e *Engine) mayBeCutOff(target *state.TargetEntry) bool {
	wait := e.settings.CutOffWait
	if e.view.domain(target.Domain) != nil {
		wait = presentDomainCutOffWait
	}
	return e.now.Sub(e.view.domainLostAt) < wait
}

// mayBeOpenedByCutOffHost reports whether a flow may have been opened by hosts that are
// cut off: its opening went to an owner that is gone since, a domain vanished,
// and this is the first packet in mid-flow. The record here then names a target
// that perhaps never saw the flow.
func (e *Engine) mayBeOpenedByCutOffHost(f *flow, r *record) bool {
	if f.packet.Kind != KindData || r.phase != phaseOpening || !r.has(flagTentative) {
		return false
	}
	return r.ownerSignature != f.owners.signature() && e.now.Sub(e.view.domainLostAt) < e.settings.CutOffWait
}
