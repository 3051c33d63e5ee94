package catalog

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Settings of a Directory.
type Settings struct {
	// DepartedRetention is how long a target that left is still known to the packets
	// of open flows.
	DepartedRetention time.Duration
	// OutageGrace is how long after the store's return a target that is missing
	// from it still counts as running.
	OutageGrace time.Duration
}

// Directory collects what the store says and builds Views of it. Times are
// counted from the start of the process.
type Directory struct {
	settings Settings
	config   Config
	targets  map[string]Target
	departed map[string]departedTarget
	// formerPools holds, for each address, the pools that earlier versions named.
	formerPools map[netip.AddrPort][]PoolID
	// removedAddresses are the addresses whose route a later version left out.
	removedAddresses map[netip.AddrPort]bool
	// unreadable are the entries that name no target, though one may live there.
	unreadable map[string]bool
	// graceUntil is when a missing entry means again that its target is gone.
	graceUntil time.Duration
	// listed tells that all entries were read once.
	listed bool
}

// departedTarget is a target whose entry is gone.
type departedTarget struct {
	target Target
	// offerUntil is set when the entry may have lapsed while the target lives.
	offerUntil  time.Duration
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
		unreadable:       make(map[string]bool),
	}
}

// ConfigVersion returns the version in force, 0 for none.
func (d *Directory) ConfigVersion() uint64 { return d.config.Version }

// SetConfig takes a configuration unless it is older than the one in force.
func (d *Directory) SetConfig(config Config) bool {
	if config.Version <= d.config.Version {
		return false
	}
	d.recordFormerPools(config)
	d.recordRemovedAddresses(config)
	d.config = config
	return true
}

// recordFormerPools notes the pools that a route of the next version leaves, and
// forgets those of addresses without a route.
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

// recordRemovedAddresses notes the addresses that lose their route. The set is replaced,
// since views hold the one before.
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

// RecordStoreFailure notes that the store could not be reached at a time. Entries may
// lapse meanwhile although their targets live.
func (d *Directory) RecordStoreFailure(now time.Duration) {
	d.graceUntil = max(d.graceUntil, now+d.settings.OutageGrace)
}

// ExtendGrace notes that entries may be missing until a time although their targets
// live, as another host tells that saw the store away.
func (d *Directory) ExtendGrace(until time.Duration) { d.graceUntil = max(d.graceUntil, until) }

// GraceUntil is when a missing entry means again that its target is gone.
func (d *Directory) GraceUntil() time.Duration { return d.graceUntil }

// Put takes the entry of a running target.
func (d *Directory) Put(target Target) {
	delete(d.departed, target.Name)
	delete(d.unreadable, target.Name)
	d.targets[target.Name] = target
}

// PutUnreadable takes an entry that can't be read. It names no target to use,
// but a flow of a target with this name may be open.
func (d *Directory) PutUnreadable(now time.Duration, name string) {
	d.Remove(now, name)
	d.unreadable[name] = true
}

// Remove takes note that a target's entry is gone.
func (d *Directory) Remove(now time.Duration, name string) {
	delete(d.unreadable, name)
	target, known := d.targets[name]
	if !known {
		return
	}
	delete(d.targets, name)
	d.departed[name] = departedTarget{
		target:      target,
		offerUntil:  d.graceUntil,
		retainUntil: now + d.settings.DepartedRetention,
	}
}

// RemoveUnlisted removes the targets that a complete list does not name. After the
// first list entries may still be missing: they may have lapsed before the start.
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
	maps.DeleteFunc(d.unreadable, func(name string, _ bool) bool { return !listed[name] })
}

// Targets returns the number of targets with an entry.
func (d *Directory) Targets() int { return len(d.targets) }

// View builds the picture of this moment. It also returns when the next one
// differs by time alone, 0 for never.
func (d *Directory) View(now time.Duration) (*View, time.Duration) {
	b := viewBuilder{view: &View{
		Version:          d.config.Version,
		IdleTimeout:      d.config.IdleTimeout,
		Listed:           d.listed,
		Complete:         d.listed && now >= d.graceUntil && len(d.unreadable) == 0,
		RemovedAddresses: d.removedAddresses,
		Routes:           make(map[netip.AddrPort]*RouteEntry, len(d.config.Routes)),
		Pools:            make(map[PoolID]*Pool),
	}, healthPaths: d.config.HealthPaths}
	for _, target := range d.targets {
		b.addTarget(target, !target.Draining)
	}
	next := d.addDeparted(now, &b)
	if d.listed && now < d.graceUntil && (next == 0 || d.graceUntil < next) {
		next = d.graceUntil
	}
	b.sortOffered()
	for _, route := range d.config.Routes {
		b.view.Routes[route.Address] = b.routeEntry(route, d.formerPools[route.Address])
	}
	return b.view, next
}

// addDeparted adds the targets that left not long ago and forgets older ones.
func (d *Directory) addDeparted(now time.Duration, b *viewBuilder) (next time.Duration) {
	for name, departed := range d.departed {
		if now >= departed.retainUntil {
			delete(d.departed, name)
			continue
		}
		offered := now < departed.offerUntil && !departed.target.Draining
		if offered && (next == 0 || departed.offerUntil < next) {
			next = departed.offerUntil
		}
		b.addTarget(departed.target, offered)
	}
	return next
}

// viewBuilder collects the pools of a view.
type viewBuilder struct {
	view        *View
	healthPaths map[PoolID]string
}

func (b *viewBuilder) pool(id PoolID) *Pool {
	pool := b.view.Pools[id]
	if pool == nil {
		pool = &Pool{ID: id, targets: make(map[Cookie]*Target)}
		b.view.Pools[id] = pool
	}
	return pool
}

// addTarget takes a target. Of two targets of a pool with the same cookie the one that
// started first has it; the other is not offered until the first is forgotten.
func (b *viewBuilder) addTarget(target Target, offered bool) {
	target.HealthPath = b.healthPaths[target.Pool]
	pool := b.pool(target.Pool)
	cookie := target.ID.Cookie()
	other := pool.targets[cookie]
	if other != nil && !startedBefore(&target, other) {
		return
	}
	pool.targets[cookie] = &target
	if other != nil {
		pool.Offered = slices.DeleteFunc(pool.Offered, func(t *Target) bool { return t == other })
	}
	if offered {
		pool.Offered = append(pool.Offered, &target)
	}
}

func startedBefore(a, b *Target) bool {
	if a.StartMillis != b.StartMillis {
		return a.StartMillis < b.StartMillis
	}
	return a.ID < b.ID
}

// sortOffered sorts the targets, so that equal directories make equal views.
func (b *viewBuilder) sortOffered() {
	for _, pool := range b.view.Pools {
		slices.SortFunc(pool.Offered, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
}

func (b *viewBuilder) routeEntry(route Route, former []PoolID) *RouteEntry {
	entry := &RouteEntry{Route: route}
	for _, share := range route.Pools {
		entry.Shares = append(entry.Shares, PoolShare{Pool: b.pool(share.Pool), Weight: share.Weight})
	}
	for _, id := range former {
		entry.FormerPools = append(entry.FormerPools, b.pool(id))
	}
	return entry
}
