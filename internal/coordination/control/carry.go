package control

import "github.com/guavawharf/guavawharf/internal/state"

// fullShareMilli is the share of a target that nothing holds back.
const fullShareMilli = 1000

// carry returns the entry of a service under a new release, without lookup
// tables; it gives way to package lookup.
func carry(previous *state.ServiceEntry, service state.Service, _ state.ReleaseVersion) *state.ServiceEntry {
	loads := make(map[state.TargetNumber]*state.TargetLoad)
	if previous != nil {
		for _, entry := range previous.Entries {
			loads[entry.Number] = entry.Load
		}
	}
	next := &state.ServiceEntry{Service: service}
	for _, target := range service.Targets {
		load := loads[target.Number]
		if load == nil {
			load = &state.TargetLoad{}
		}
		next.Entries = append(next.Entries, &state.TargetEntry{
			Target: target, Service: service.Number, ShareMilli: fullShareMilli, Load: load,
		})
	}
	return next
}
