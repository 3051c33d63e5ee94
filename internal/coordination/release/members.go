package release

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// memberView is the part of the membership view that the machine uses.
type memberView struct {
	self state.Host
	// serving holds the alive and suspected hosts, sorted by ID; it includes
	// this host unless it is leaving.
	serving []state.Host
	// others holds every other member, leaving ones included.
	others []state.Host
	// watcherCache caches the results of watchers for the current view.
	watcherCache map[watchersKey][]state.Host
}

// watchersKey identifies a result of watchers.
type watchersKey struct {
	domain state.DomainID
	salt   string
}

// maxCachedWatcherSets limits watcherCache; beyond it the cache is cleared.
const maxCachedWatcherSets = 64

func newMemberView(self state.Host) memberView {
	return memberView{self: self, serving: []state.Host{self}}
}

func (r *memberView) setView(view state.MembershipView) {
	r.watcherCache = nil
	r.serving = nil
	r.others = nil
	for _, member := range view.Members {
		if member.Status == state.HostDead {
			continue
		}
		if member.Status != state.HostLeaving {
			r.serving = append(r.serving, member.Host)
		}
		if member.ID != r.self.ID {
			r.others = append(r.others, member.Host)
		}
	}
}

// servingIn returns the serving hosts of a domain.
func (r *memberView) servingIn(id state.DomainID) []state.Host {
	var hosts []state.Host
	for _, host := range r.serving {
		if host.Domain == id {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// ownDomainMembers returns all hosts of this host's domain, itself and leaving
// ones included.
func (r *memberView) ownDomainMembers() []state.Host {
	return append(r.peers(true), r.self)
}

// servingDomains lists the domains that have serving hosts, sorted.
func (r *memberView) servingDomains() []state.DomainID {
	var ids []state.DomainID
	for _, host := range r.serving {
		if !slices.Contains(ids, host.Domain) {
			ids = append(ids, host.Domain)
		}
	}
	slices.Sort(ids)
	return ids
}

// watchers returns the hosts of a domain that watch the platform, in order of
// precedence. The caller must not modify the result, which is cached.
func (r *memberView) watchers(id state.DomainID, salt string) []state.Host {
	key := watchersKey{id, salt}
	if hosts, ok := r.watcherCache[key]; ok {
		return hosts
	}
	if r.watcherCache == nil || len(r.watcherCache) >= maxCachedWatcherSets {
		r.watcherCache = make(map[watchersKey][]state.Host)
	}
	ranked := rendezvousOrder("watch"+salt, r.servingIn(id))
	hosts := slices.Clone(ranked[:min(len(ranked), WatchersPerDomain)])
	r.watcherCache[key] = hosts
	return hosts
}

// coordinators returns the watchers of all domains in their order as
// coordinators for a purpose.
func (r *memberView) coordinators(purpose string) []state.Host {
	var hosts []state.Host
	for _, id := range r.servingDomains() {
		hosts = append(hosts, r.watchers(id, "")...)
	}
	return rendezvousOrder(purpose, hosts)
}

// peers returns the other members, either those in this host's domain or those
// outside it.
func (r *memberView) peers(sameDomain bool) []state.Host {
	var hosts []state.Host
	for _, host := range r.others {
		if (host.Domain == r.self.Domain) == sameDomain {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// sample returns up to count random hosts.
func sample(rng *rand.Rand, hosts []state.Host, count int) []state.Host {
	picked := slices.Clone(hosts)
	rng.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(count, len(picked))]
}

// rotationSalt returns a salt for the choice of watchers that changes every
// WatcherRotationInterval. While disconnected, it makes other hosts try the
// platform in turn.
func rotationSalt(now time.Time) string {
	return strconv.FormatInt(now.UnixNano()/int64(WatcherRotationInterval), 10)
}
