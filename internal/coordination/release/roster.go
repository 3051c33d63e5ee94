package release

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// roster is what the machine uses of the membership view.
type roster struct {
	self state.Host
	// serving holds the hosts that are alive or suspected, sorted by id, this
	// host included unless it is leaving.
	serving []state.Host
	// others holds every other member, leaving ones included.
	others []state.Host
	// ranked keeps the watchers found under the present view.
	ranked map[watchersKey][]state.Host
}

// watchersKey names a choice of watchers.
type watchersKey struct {
	domain state.DomainID
	salt   string
}

// maxRanked bounds the choices kept.
const maxRanked = 64

func newRoster(self state.Host) roster {
	return roster{self: self, serving: []state.Host{self}}
}

func (r *roster) setView(view state.MembershipView) {
	r.ranked = nil
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

// domain returns the serving hosts of a domain.
func (r *roster) domain(id state.DomainID) []state.Host {
	var hosts []state.Host
	for _, host := range r.serving {
		if host.Domain == id {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// present returns all hosts of this host's domain, leaving ones included.
func (r *roster) present() []state.Host {
	return append(r.peers(true), r.self)
}

// domains lists the domains with serving hosts, sorted.
func (r *roster) domains() []state.DomainID {
	var ids []state.DomainID
	for _, host := range r.serving {
		if !slices.Contains(ids, host.Domain) {
			ids = append(ids, host.Domain)
		}
	}
	slices.Sort(ids)
	return ids
}

// watchers returns the hosts of a domain that watch the platform, first first.
// The result is shared.
func (r *roster) watchers(id state.DomainID, salt string) []state.Host {
	key := watchersKey{id, salt}
	if hosts, ok := r.ranked[key]; ok {
		return hosts
	}
	if r.ranked == nil || len(r.ranked) >= maxRanked {
		r.ranked = make(map[watchersKey][]state.Host)
	}
	ranked := rendezvousOrder("watch"+salt, r.domain(id))
	hosts := slices.Clone(ranked[:min(len(ranked), WatchersPerDomain)])
	r.ranked[key] = hosts
	return hosts
}

// coordinators returns the watchers of all domains in the order for a purpose.
func (r *roster) coordinators(purpose string) []state.Host {
	var hosts []state.Host
	for _, id := range r.domains() {
		hosts = append(hosts, r.watchers(id, "")...)
	}
	return rendezvousOrder(purpose, hosts)
}

// peers returns the other members inside or outside this host's domain.
func (r *roster) peers(inside bool) []state.Host {
	var hosts []state.Host
	for _, host := range r.others {
		if (host.Domain == r.self.Domain) == inside {
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

// rotation salts the choice of watchers while the platform is not heard, so
// that other hosts try it in turn.
func rotation(now time.Time) string {
	return strconv.FormatInt(now.UnixNano()/int64(WatcherRotationInterval), 10)
}
