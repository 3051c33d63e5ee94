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
	// searchRanks is the number of hosts visited in each failure domain.
	searchRanks = 3
	// maxSearchDomains bounds the failure domains visited.
	maxSearchDomains = 16
)

// searchOrder is the order in which a flow's record is searched for. It depends
// on the view alone, so that hosts with different releases agree on it: the two
// best hosts of the nearest domain, then the best host of each other domain,
// then the second and third best ones. Position 0 is the first owner; position
// i is the cell i-1 of the order.
type searchOrder struct {
	domains [maxSearchDomains]*domainRoute
	len     int
	fp      state.Fingerprint
}

// newSearchOrder ranks the domains of a view for a flow.
func newSearchOrder(view *viewIndex, fp state.Fingerprint) searchOrder {
	o := searchOrder{fp: fp}
	o.len = copy(o.domains[:], view.domains)
	slices.SortFunc(o.domains[:o.len], func(a, b *domainRoute) int {
		return cmp.Compare(mix64(fp.High^a.seed), mix64(fp.High^b.seed))
	})
	return o
}

// cells is the number of cells in the order.
func (o *searchOrder) cells() int { return o.len * searchRanks }

// host returns the host of a cell, nil if the domain has too few.
func (o *searchOrder) host(cell int) *hostRoute {
	domain, rank := cell%o.len, cell/o.len
	switch {
	case cell == 1:
		domain, rank = 0, 1
	case cell > 1 && cell <= o.len:
		domain, rank = cell-1, 0
	}
	return o.domains[domain].ranked(o.fp, rank)
}

// ranked returns the host of a rank by rendezvous, leaving hosts included; nil
// if there are too few.
func (d *domainRoute) ranked(fp state.Fingerprint, rank int) *hostRoute {
	var chosen *hostRoute
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
	if known.verdict == relay.VerdictForward && e.snap.Targets[known.target] != nil {
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
	if position == 0 && !e.beginSearch() {
		return drop(ReasonSearchLimit)
	}
	order := newSearchOrder(e.view, f.packet.Fingerprint)
	for cell := position; cell < order.cells(); cell++ {
		if to := order.host(cell); to != nil && !to.self {
			h := known.header(relay.KindPacket)
			h.Position = uint8(cell + 1)
			return e.relayHeader(f, to, h, ReasonSearch)
		}
	}
	return e.endSearch(f, known)
}

// knownVerdict returns the verdict of the flow's record here or of the packet's
// header; it has no verdict if there is neither.
func (e *Engine) knownVerdict(f *flow) judgement {
	if r := e.records.find(f.packet.Fingerprint); r != nil && r.forwards() {
		return judgementFrom(r)
	}
	if f.packet.Relayed && f.packet.Relay.Kind == relay.KindPacket {
		return judgementOf(f.packet.Relay)
	}
	return judgement{}
}

// endSearch ends a search that no host could answer.
func (e *Engine) endSearch(f *flow, known judgement) Decision {
	if known.verdict != relay.VerdictNone {
		return drop(ReasonUnknownTarget)
	}
	return e.fallBack(f)
}

// beginSearch reports whether one more search may begin in this tick.
func (e *Engine) beginSearch() bool {
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
	if e.inherited[f.routes.entry.Number] {
		return drop(ReasonAddressReused)
	}
	if !e.settled(f.owners.home) || e.ownersChanged(f) {
		return drop(ReasonUnsettled)
	}
	tables := f.routes.entry.Tables
	target := e.hashTarget(f, tables[len(tables)-1])
	if target == nil {
		return drop(ReasonNoTarget)
	}
	if e.mayBeCutOff(target) {
		return drop(ReasonCutOff)
	}
	v := forwardTo(target.Number)
	v.flags = headerGuessed | headerOpen
	d := e.forward(target.Service, target.Number, ReasonFallback)
	if e.flows() >= e.limit(crowdedShareMilli) {
		return d
	}
	if r := e.keep(f, v); r != nil {
		e.repairPair(f, r, &d)
	}
	return d
}

// presentCutOff replaces Settings.CutOff for targets whose domain has hosts: a
// wrong guess reaches them, and flows opened beyond the cut have other targets.
const presentCutOff = 5 * time.Minute

// mayBeCutOff reports whether a failure domain vanished so lately that a guess
// for a flow's target may harm a flow whose record is there.
func (e *Engine) mayBeCutOff(guess *state.TargetEntry) bool {
	wait := e.settings.CutOff
	if e.view.domain(guess.Domain) != nil {
		wait = presentCutOff
	}
	return e.now.Sub(e.view.domainLost) < wait
}

// openedBeyondCut reports whether a flow may have been opened by hosts that are
// cut off: its opening went to an owner that is gone since, a domain vanished,
// and this is the first packet in mid-flow. The record here then names a target
// that perhaps never saw the flow.
func (e *Engine) openedBeyondCut(f *flow, r *record) bool {
	if f.packet.Kind != KindData || r.phase != phaseOpening || !r.has(flagTentative) {
		return false
	}
	return r.pair != f.owners.signature() && e.now.Sub(e.view.domainLost) < e.settings.CutOff
}
