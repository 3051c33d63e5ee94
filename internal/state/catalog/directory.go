package catalog

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Settings configures a Directory.
type Settings struct {
	// DepartedRetention is how long a target whose entry was removed still serves
	// the packets of its open flows.
	DepartedRetention time.Duration
	// OutageGrace is how long after a store outage a target without an entry still
	// counts as running: its entry may have expired during the outage and not have
	// been written again yet.
	OutageGrace time.Duration
	// RestoreDoubt is how long after the store was restored from a backup its entries may
	// belong to targets that have left: the store removes such an entry once the target has
	// been silent for long enough.
	RestoreDoubt time.Duration
	// AwaitDrains is until when a view serves nothing before the list of drains was read.
	// 0 waits for no list.
	AwaitDrains time.Duration
}

// Directory collects the configuration and the target entries of the store and
// builds Views of them. Times are counted from the start of the process. It is not
// safe for concurrent use.
type Directory struct {
	settings Settings
	config   Config
	// targets and departed are indexed by target name.
	targets  map[string]Target
	departed map[string]departedTarget
	// formerPools holds, for each address with a route, the pools that earlier
	// configuration versions assigned to it.
	formerPools map[netip.AddrPort][]PoolID
	// removedAddresses are the addresses that lost their route in a later
	// configuration version.
	removedAddresses map[netip.AddrPort]bool
	// unreadable holds the targets whose entries could not be decoded, by name; they may be
	// running.
	unreadable map[string]TargetID
	// graceUntil is the end of the grace period in which a missing entry does not
	// prove that its target is gone.
	graceUntil time.Duration
	// restoredAt is when the store was last found to have been restored from a backup,
	// doubtUntil the end of the time in which its entries may be older than what is known.
	// heldBack are the entries of targets that left before restoredAt; they are dropped
	// unless the store still has them at doubtUntil.
	restoredAt time.Duration
	doubtUntil time.Duration
	heldBack   map[string]Target
	// listed reports whether the complete list of entries has been read at least
	// once.
	listed bool
	// drains are the failure domains that the operator drains, returnedAt holds when the
	// drain of a domain was removed: its targets may have to warm up.
	drains     domainDrains
	returnedAt map[state.DomainID]time.Duration
}

// departedTarget is a target whose entry was removed.
type departedTarget struct {
	target Target
	// since is when the entry was removed.
	since time.Duration
	// offerUntil is the time until which the target still takes new flows: its entry
	// may have expired during a store outage while the target runs.
	offerUntil time.Duration
	// retainUntil is the time until which the target serves its open flows.
	retainUntil time.Duration
}

// NewDirectory returns an empty directory.
func NewDirectory(settings Settings) *Directory {
	return &Directory{
		settings:    settings,
		targets:     make(map[string]Target),
		departed:    make(map[string]departedTarget),
		formerPools: make(map[netip.AddrPort][]PoolID),

		removedAddresses: make(map[netip.AddrPort]bool),
		unreadable:       make(map[string]TargetID),
		heldBack:         make(map[string]Target),
		drains:           newDomainDrains(),
		returnedAt:       make(map[state.DomainID]time.Duration),
	}
}

// ConfigVersion returns the configuration version in force, 0 for none.
func (d *Directory) ConfigVersion() uint64 { return d.config.Version }

// SetConfig puts a configuration in force and returns true, unless its version is not
// newer than the one in force.
func (d *Directory) SetConfig(config Config) bool {
	if config.Version <= d.config.Version {
		return false
	}
	d.recordFormerPools(config)
	d.recordRemovedAddresses(config)
	d.config = config
	return true
}

// recordFormerPools adds the current pools of each route to its former pools, and
// drops the former pools of addresses without a route in the next version.
func (d *Directory) recordFormerPools(next Config) {
	former := make(map[netip.AddrPort][]PoolID)
	before := routePools(d.config)
	for _, route := range next.Routes {
		kept := d.formerPools[route.Address]
		for _, pool := range before[route.Address] {
			if !slices.Contains(kept, pool) {
				kept = append(slices.Clone(kept), pool)
			}
		}
		if len(kept) > 0 {
			former[route.Address] = kept
		}
	}
	d.formerPools = former
}

// recordRemovedAddresses records the addresses that lose their route in the next
// version. It replaces the map, since existing views refer to the previous one.
func (d *Directory) recordRemovedAddresses(next Config) {
	removed := make(map[netip.AddrPort]bool, len(d.removedAddresses))
	maps.Copy(removed, d.removedAddresses)
	for _, route := range d.config.Routes {
		removed[route.Address] = true
	}
	for _, route := range next.Routes {
		delete(removed, route.Address)
	}
	d.removedAddresses = removed
}

func routePools(config Config) map[netip.AddrPort][]PoolID {
	pools := make(map[netip.AddrPort][]PoolID, len(config.Routes))
	for _, route := range config.Routes {
		for _, share := range route.Pools {
			pools[route.Address] = append(pools[route.Address], share.Pool)
		}
	}
	return pools
}

// RecordStoreFailure records that the store could not be reached at the given time.
// During an outage entries may expire although their targets are running.
func (d *Directory) RecordStoreFailure(now time.Duration) {
	d.graceUntil = max(d.graceUntil, now+d.settings.OutageGrace)
}

// ExtendGrace extends the grace period for missing entries to the end of the one that
// another host reports, which could not reach the store or has just started.
func (d *Directory) ExtendGrace(until time.Duration) { d.graceUntil = max(d.graceUntil, until) }

// GraceUntil returns the end of the grace period in which a missing entry does not
// prove that its target is gone.
func (d *Directory) GraceUntil() time.Duration { return d.graceUntil }

// Put adds or replaces the entry of a running target. It returns false if it did not,
// since the store was restored from a backup and the entry is from there and older than
// what is known.
func (d *Directory) Put(now time.Duration, target Target) bool {
	if now < d.doubtUntil && d.outdated(&target) {
		return false
	}
	delete(d.departed, target.Name)
	delete(d.unreadable, target.Name)
	delete(d.heldBack, target.Name)
	target.SlowUntil = now + target.WarmUp
	d.targets[target.Name] = target
	return true
}

// PutUnreadable records an entry that could not be decoded. It adds no target, but the one
// with this name and ID may be running and have open flows.
func (d *Directory) PutUnreadable(now time.Duration, name string, id TargetID) {
	d.Remove(now, name)
	d.unreadable[name] = id
}

// Remove removes the entry of a target. The target serves its open flows for
// DepartedRetention and, unless it is draining, takes new flows until the end of the
// grace period.
func (d *Directory) Remove(now time.Duration, name string) {
	delete(d.unreadable, name)
	delete(d.heldBack, name)
	target, known := d.targets[name]
	if !known {
		return
	}
	delete(d.targets, name)
	d.departed[name] = departedTarget{
		target:      target,
		since:       now,
		offerUntil:  d.graceUntil,
		retainUntil: now + d.settings.DepartedRetention,
	}
}

// RemoveUnlisted removes the targets that a complete list of entries does not contain.
// The first list starts a grace period: entries missing from it may have expired before
// the process started.
func (d *Directory) RemoveUnlisted(now time.Duration, listed map[string]bool) {
	if !d.listed {
		d.listed = true
		d.graceUntil = max(d.graceUntil, now+d.settings.OutageGrace)
	}
	for name := range d.targets {
		if !listed[name] {
			d.Remove(now, name)
		}
	}
	maps.DeleteFunc(d.unreadable, func(name string, _ TargetID) bool { return !listed[name] })
	maps.DeleteFunc(d.heldBack, func(name string, _ Target) bool { return !listed[name] })
}

// unreadableCookies returns the cookies of the targets whose entries could not be decoded.
func (d *Directory) unreadableCookies() map[Cookie]bool {
	cookies := make(map[Cookie]bool, len(d.unreadable))
	for _, id := range d.unreadable {
		cookies[id.Cookie()] = true
	}
	return cookies
}

// Targets returns the number of targets with an entry.
func (d *Directory) Targets() int { return len(d.targets) }

// View returns the view at the given time. It also returns when the grace period or an
// offer of a departed target ends next, which changes the view without new input; 0 for
// never.
func (d *Directory) View(now time.Duration) (*View, time.Duration) {
	d.releaseHeldBack(now)
	drainsSettleAt := d.settleDrains(now)
	b := viewBuilder{view: &View{
		Version:          d.config.Version,
		IdleTimeout:      d.config.IdleTimeout,
		Listed:           d.listed,
		DrainsKnown:      d.drainsKnown(now),
		DrainedDomains:   maps.Clone(d.drains.drained),
		StoreCertain:     now >= d.doubtUntil,
		Complete:         d.listed && now >= d.graceUntil,
		Unreadable:       d.unreadableCookies(),
		SlowStarts:       len(d.config.SlowStarts) > 0,
		RemovedAddresses: d.removedAddresses,
		Routes:           make(map[netip.AddrPort]*RouteEntry, len(d.config.Routes)),
		Pools:            make(map[PoolID]*Pool),
	}, config: &d.config, returnedAt: d.returnedAt}
	for _, target := range d.targets {
		b.addTarget(target, !target.Draining)
	}
	next := earliest(d.addDeparted(now, &b), drainsSettleAt)
	if d.listed && now < d.graceUntil {
		next = earliest(next, d.graceUntil)
	}
	if now < d.doubtUntil {
		next = earliest(next, d.doubtUntil)
	}
	if !b.view.DrainsKnown {
		next = earliest(next, d.settings.AwaitDrains)
	}
	b.sortOffered()
	for _, route := range d.config.Routes {
		b.view.Routes[route.Address] = b.routeEntry(route, d.formerPools[route.Address])
	}
	return b.view, next
}

// earliest returns the earlier of two times, of which 0 is none.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// addDeparted adds the departed targets that are still retained and deletes the
// others. It returns when the next of them stops taking new flows, 0 for never.
func (d *Directory) addDeparted(now time.Duration, b *viewBuilder) (next time.Duration) {
	for name, departed := range d.departed {
		if now >= departed.retainUntil {
			delete(d.departed, name)
			continue
		}
		offered := now < departed.offerUntil && !departed.target.Draining
		if offered {
			next = earliest(next, departed.offerUntil)
		}
		b.addTarget(departed.target, offered)
	}
	return next
}
