package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// viewBuilder assembles a View.
type viewBuilder struct {
	view   *View
	config *Config
	// returnedAt holds when the drain of a failure domain was removed. Its targets may have
	// started again meanwhile, and their entries tell that late.
	returnedAt map[state.DomainID]time.Duration
}

// pool returns the pool with the ID and creates it if necessary.
func (b *viewBuilder) pool(id PoolID) *Pool {
	pool := b.view.Pools[id]
	if pool == nil {
		pool = &Pool{ID: id, targets: make(map[Cookie]*Target)}
		b.view.Pools[id] = pool
	}
	return pool
}

// addTarget adds a target to its pool. If two targets of a pool have the same cookie,
// the one that started first keeps it; the other takes no flows until the first is no
// longer retained.
func (b *viewBuilder) addTarget(target Target, offered bool) {
	target.HealthPath = b.config.HealthPaths[target.Pool]
	target.SlowStart = b.config.SlowStarts[target.Pool]
	if returnedAt, returned := b.returnedAt[target.Domain]; returned {
		target.SlowUntil = max(target.SlowUntil, returnedAt+target.SlowStart.Length)
	}
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
	switch {
	case !offered:
	case b.view.DrainedDomains[target.Domain]:
		pool.Drained++
	default:
		pool.Offered = append(pool.Offered, &target)
	}
}

func startedBefore(a, b *Target) bool {
	if a.StartMillis != b.StartMillis {
		return a.StartMillis < b.StartMillis
	}
	return a.ID < b.ID
}

// sortOffered sorts the offered targets, so that equal directories give equal views.
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
