package lookup

import (
	"cmp"
	"slices"

	"github.com/guavawharf/guavawharf/internal/state"
)

// MaxTables is the maximum number of table versions retained for a service.
const MaxTables = 8

// fullShareMilli is the ShareMilli of a target without slow start or load reduction.
const fullShareMilli = 1000

// NextEntry returns the entry of a service under a new release. previous is the entry
// under the previous release, nil for a new service; NextEntry returns previous itself
// if the service has not changed. Health and counters are kept, a withdrawn target
// stays while it is in Retired or flow records refer to it, and the newest MaxTables
// table versions are retained.
func NextEntry(previous *state.ServiceEntry, service state.Service, version state.ReleaseVersion) *state.ServiceEntry {
	if previous == nil {
		return newEntry(service, version)
	}
	if sameService(previous.Service, service) {
		return previous
	}
	next := &state.ServiceEntry{
		Service:       service,
		Tables:        previous.Tables,
		TargetEntries: targetEntries(previous.TargetEntries, service),
		DomainWeights: domainWeights(service.Targets),
	}
	if !sameTableInputs(previous.Targets, service.Targets) {
		next.Tables = prependTable(previous.Tables, buildTable(service, version))
	}
	return next
}

// DropOldTables returns the entry without the table versions that precede the one in
// force at release base, or entry itself if there are none. It may be used once no open
// flow needs those versions.
func DropOldTables(entry *state.ServiceEntry, base state.ReleaseVersion) *state.ServiceEntry {
	kept := len(entry.Tables)
	for kept > 1 && entry.Tables[kept-2].Version <= base {
		kept--
	}
	if kept == len(entry.Tables) {
		return entry
	}
	next := *entry
	next.Tables = slices.Clone(entry.Tables[:kept])
	return &next
}

// newEntry returns the entry of a service without a previous entry.
func newEntry(service state.Service, version state.ReleaseVersion) *state.ServiceEntry {
	return &state.ServiceEntry{
		Service:       service,
		Tables:        []*state.LookupTable{buildTable(service, version)},
		TargetEntries: targetEntries(nil, service),
		DomainWeights: domainWeights(service.Targets),
	}
}

// buildTable builds the table of a service for a release version.
func buildTable(service state.Service, version state.ReleaseVersion) *state.LookupTable {
	table := Build(service.Targets)
	table.Version = version
	return table
}

// prependTable returns the tables with newest in front, limited to MaxTables.
func prependTable(tables []*state.LookupTable, newest *state.LookupTable) []*state.LookupTable {
	kept := tables[:min(len(tables), MaxTables-1)]
	return append([]*state.LookupTable{newest}, kept...)
}

// sameService reports whether two versions of a service are equal.
func sameService(a, b state.Service) bool {
	targets := slices.Equal(a.Targets, b.Targets) && slices.Equal(a.Retired, b.Retired)
	return targets && a.ID == b.ID && a.Number == b.Number && a.Customer == b.Customer &&
		a.Protocol == b.Protocol && a.Address == b.Address &&
		a.Way == b.Way && a.IdleTimeout == b.IdleTimeout
}

// sameTableInputs reports whether two target lists, sorted by ID, give the same table.
func sameTableInputs(a, b []state.Target) bool {
	return slices.EqualFunc(usableTargets(a), usableTargets(b), func(x, y state.Target) bool {
		return x.Number == y.Number && x.Weight == y.Weight
	})
}

// targetEntries returns the target entries of a service: its targets, then the retired
// targets, then the targets that only flow records still refer to.
func targetEntries(previous []*state.TargetEntry, service state.Service) []*state.TargetEntry {
	known := make(map[state.TargetNumber]*state.TargetEntry, len(previous))
	for _, old := range previous {
		known[old.Number] = old
	}
	entries := make([]*state.TargetEntry, 0, len(service.Targets)+len(service.Retired))
	for _, t := range service.Targets {
		entries = append(entries, targetEntry(known[t.Number], t, service.Number))
		delete(known, t.Number)
	}
	for _, t := range service.Retired {
		entry := targetEntry(known[t.Number], t, service.Number)
		entry.Withdrawn = true
		entries = append(entries, entry)
		delete(known, t.Number)
	}
	for _, old := range previous {
		if known[old.Number] != nil && old.Counters.FlowRecords.Load() > 0 {
			entries = append(entries, withdrawnEntry(old))
		}
	}
	return entries
}

// withdrawnEntry returns a copy of the entry, marked as withdrawn, for a target that
// the release no longer contains.
func withdrawnEntry(old *state.TargetEntry) *state.TargetEntry {
	entry := *old
	entry.Withdrawn = true
	return &entry
}

// targetEntry returns the entry of one target; old is nil for a new target.
func targetEntry(old *state.TargetEntry, t state.Target, service state.ServiceNumber) *state.TargetEntry {
	entry := &state.TargetEntry{Target: t, Service: service, ShareMilli: fullShareMilli}
	if old == nil {
		entry.Counters = &state.TargetCounters{}
		return entry
	}
	entry.Ejected = old.Ejected
	entry.ShareMilli = old.ShareMilli
	entry.Counters = old.Counters
	return entry
}

// domainWeights returns the sums of target weights by failure domain, sorted by
// domain.
func domainWeights(targets []state.Target) []state.DomainWeight {
	var weights []state.DomainWeight
	for _, t := range targets {
		i := slices.IndexFunc(weights, func(w state.DomainWeight) bool { return w.Domain == t.Domain })
		if i < 0 {
			i = len(weights)
			weights = append(weights, state.DomainWeight{Domain: t.Domain})
		}
		weights[i].Weight += t.Weight
		if acceptsNewFlows(t) {
			weights[i].Usable += t.Weight
		}
	}
	slices.SortFunc(weights, func(a, b state.DomainWeight) int {
		return cmp.Compare(a.Domain, b.Domain)
	})
	return weights
}
