// Package slowstart shares out the requests that targets bear in their slow start among the
// hosts of their failure domain. The load that it answers: a domain comes back from a drain,
// or a release starts many targets, and all hosts together must not send one of them more
// than a few requests a second.
//
// A share may be below one request a second, so each target's requests belong to one host of
// its domain, chosen by rendezvous hashing over the list of hosts. Two hosts whose lists
// differ may both take a target for theirs; the rate is such that two of them keep the bound.
package slowstart

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// restartGap is how long after its start a host sends nothing: it has forgotten what it sent
// before, and the bound counts any second.
const restartGap = time.Second

// owners is the number of hosts that may take a target for theirs at the same time.
const owners = 2

// Bound is what all hosts together may send to a target in any second: its limit times
// Overage, and Slack more requests.
type Bound struct {
	Overage float64
	Slack   float64
}

// Enabled reports whether the bound leaves each owner a request.
func (b Bound) Enabled() bool { return b.Overage > 0 && b.burst() >= 1 }

// burst returns the number of requests that an owner may send at once.
func (b Bound) burst() float64 { return float64(int(b.Slack / owners)) }

// Shares decides which new flows this host may send to targets in their slow start. It is
// not safe for concurrent use. Times are counted from the start of the process.
type Shares struct {
	bound Bound
	self  netip.AddrPort
	hosts []netip.AddrPort
	// shares holds the targets that this host has decided about since the list changed.
	shares map[catalog.TargetID]*share
}

// share is this host's part in one target.
type share struct {
	owned bool
	// tokens are the requests that may be sent at once, as of at.
	tokens float64
	at     time.Duration
}

// New returns shares without a list of hosts: no target belongs to the host self.
func New(self netip.AddrPort, bound Bound) *Shares {
	return &Shares{self: self, bound: bound, shares: make(map[catalog.TargetID]*share)}
}

// SetHosts sets the hosts of the own failure domain. The requests already sent still count.
func (s *Shares) SetHosts(hosts []netip.AddrPort) {
	s.hosts = hosts
	for target, known := range s.shares {
		known.owned = s.owns(target)
	}
}

// owns reports whether a target belongs to this host: it has the highest rank for it.
func (s *Shares) owns(target catalog.TargetID) bool {
	var best netip.AddrPort
	var highest uint64
	for _, host := range s.hosts {
		if rank := rank(host, target); !best.IsValid() || rank > highest {
			best, highest = host, rank
		}
	}
	return best.IsValid() && best == s.self
}

// rank returns the rank of a host for a target.
func rank(host netip.AddrPort, target catalog.TargetID) uint64 {
	hash := fnv.New64a()
	address := host.Addr().As16()
	key := binary.BigEndian.AppendUint64(address[:], uint64(target))
	key = binary.BigEndian.AppendUint16(key, host.Port())
	// A hash never fails to write.
	_, _ = hash.Write(key)
	return mix(hash.Sum64())
}

// mix spreads the differences of a hash over all its bits (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// MayUse reports whether this host may send a new flow to a target of its domain that bears
// perSecond requests a second.
func (s *Shares) MayUse(now time.Duration, target catalog.TargetID, perSecond float64) bool {
	if now < restartGap {
		return false
	}
	known := s.shares[target]
	if known == nil {
		known = &share{owned: s.owns(target), tokens: s.bound.burst(), at: now}
		s.shares[target] = known
	}
	if !known.owned {
		return false
	}
	rate := perSecond * s.bound.Overage / owners
	known.tokens = min(s.bound.burst(), known.tokens+rate*(now-known.at).Seconds())
	known.at = now
	return known.tokens >= 1
}

// RecordUse records that a new flow was sent to a target after MayUse allowed it.
func (s *Shares) RecordUse(target catalog.TargetID) { s.shares[target].tokens-- }

// Forget removes what is known of the targets for which keep returns false.
func (s *Shares) Forget(keep func(catalog.TargetID) bool) {
	for target := range s.shares {
		if !keep(target) {
			delete(s.shares, target)
		}
	}
}
