package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// record is what the host has seen of one target.
type record struct {
	id      catalog.TargetID
	name    string
	address netip.AddrPort
	// healthPath is where the target tells its name over HTTP.
	healthPath string
	domain     state.DomainID
	own        bool
	born       int64
	// pendingSYNs is the number of openings that wait for an answer.
	pendingSYNs int
	// waiting is the number of flows with a request that is not answered yet.
	waiting int
	// open is the number of open flows.
	open int
	// lastAnswer is when the target was last seen to answer.
	lastAnswer time.Duration
	// missed counts openings and repeats in a row without an answer; missedData tells
	// that there was a repeat among them.
	missed     int
	missedData bool
	// beyondCut tells that another target of the same remote failure domain is gone.
	beyondCut bool
	// checking tells that a check of the target's address runs; nextCheck is when
	// the next may start.
	checking  bool
	nextCheck time.Duration
	// down tells that a check failed; confirmed is when the last one did, and refused
	// that the target refused it.
	down      bool
	confirmed time.Duration
	refused   bool
	// warmUntil is when the target stops being slow after its start.
	warmUntil    time.Duration
	handshakeRTT rttEstimator
	// all is the work of all targets.
	all *load
}

// gone tells that the target does not answer, by evidence that is recent enough
// to reset flows by. In an overload a target drops packets and refuses connections, so
// that only data repeated for long counts.
func (r *record) gone(now time.Duration) bool {
	silent := now-r.lastAnswer >= silentAfter
	switch {
	case !r.down || now-r.confirmed > evidenceLifetime:
		return false
	case r.all.overloaded():
		return r.missedData && silent
	}
	return silent || r.missedData || r.beyondCut || r.refused && !r.all.high()
}

// seemsGone tells so by silence alone. A target that takes no connection may be
// overloaded, as others then are, too; it still acknowledges data at once.
func (r *record) seemsGone(now time.Duration) bool {
	return r.gone(now) || r.down && now-r.confirmed <= evidenceLifetime && !r.all.high()
}

// resetEvidence is what a reset of a flow at the target rests on.
func (r *record) resetEvidence(now time.Duration) Evidence {
	return Evidence{Target: r.name, Age: now - r.confirmed, Waiting: r.waiting, Open: r.open}
}

// barred tells that the target is to get no new flow now.
func (r *record) barred() bool { return r.down || r.checking && r.missed > 0 }

// rttEstimator estimates how long a target takes to answer an opening, as
// RFC 6298 does for round trips.
type rttEstimator struct {
	mean      time.Duration
	deviation time.Duration
}

func (a *rttEstimator) add(sample time.Duration) {
	if a.mean == 0 {
		a.mean = sample
		a.deviation = sample / 2
		return
	}
	diff := a.mean - sample
	if diff < 0 {
		diff = -diff
	}
	a.deviation += (diff - a.deviation) / 4
	a.mean += (sample - a.mean) / 8
}

// attemptTimeout is how long to wait for an answer before offering the opening to
// another target.
func (r *record) attemptTimeout() time.Duration {
	if r.handshakeRTT.mean == 0 {
		if r.own {
			return initialTimeoutLocal
		}
		return initialTimeoutRemote
	}
	return min(max(r.handshakeRTT.mean+timeoutDeviations*r.handshakeRTT.deviation, minAttemptTimeout), maxAttemptTimeout)
}

// records finds the records of targets.
type records struct {
	own     state.DomainID
	targets map[catalog.TargetID]*record
	// checks are the checks to start, beliefs the changes since both were taken.
	checks        []Check
	healthChanges []HealthChange
	// down are the targets that failed their check.
	down []*record
	all  load
	// lastAnswer is when any target was last seen to answer.
	lastAnswer time.Duration
}

func newRecords(own state.DomainID) *records {
	return &records{own: own, targets: make(map[catalog.TargetID]*record)}
}

func (rs *records) of(target *catalog.Target, now time.Duration) *record {
	r := rs.targets[target.ID]
	if r == nil {
		r = &record{
			id:         target.ID,
			name:       target.Name,
			address:    target.Address,
			healthPath: target.HealthPath,
			domain:     target.Domain,
			own:        target.Domain == rs.own,
			born:       target.Born,
			lastAnswer: now,
			warmUntil:  now + target.WarmUp,
			all:        &rs.all,
		}
		rs.targets[target.ID] = r
	}
	return r
}

// answered notes that a target has answered something. Of a target that failed
// a check only a later check can say otherwise: behind a cut that lets answers
// through, clients still acknowledge what it sent.
func (rs *records) answered(now time.Duration, r *record) {
	r.lastAnswer = now
	r.missed = 0
	r.missedData = false
	r.beyondCut = false
	rs.lastAnswer = now
}

// missedOne notes that an opening or data at a target stayed without an answer,
// and has the target checked.
func (rs *records) missedOne(now time.Duration, r *record, data bool) {
	r.missed++
	wasGone := r.gone(now)
	// An answer since the data was sent first shows that the target lived: the data was
	// lost.
	if data && now-r.lastAnswer >= minRetransmitDelay {
		r.missedData = true
	}
	rs.requestCheck(now, r)
	if !wasGone && r.gone(now) {
		rs.checkNeighbours(now, r)
	}
}

// requestCheck asks for a requestCheck of a target unless one runs or ran just now.
func (rs *records) requestCheck(now time.Duration, r *record) {
	if r.checking || now < r.nextCheck {
		return
	}
	r.checking = true
	check := Check{Target: r.id, Address: r.address, HealthPath: r.healthPath, Witnesses: rs.witnesses(r)}
	if r.down {
		check.ExpectedName = r.name
	}
	rs.checks = append(rs.checks, check)
}

// witnesses returns the addresses of targets that answered last, one of the own
// failure domain and one of another.
func (rs *records) witnesses(checked *record) []netip.AddrPort {
	var own, remote *record
	for _, r := range rs.targets {
		switch {
		case r == checked || r.down || r.missed > 0:
		case r.own && (own == nil || r.lastAnswer > own.lastAnswer):
			own = r
		case !r.own && (remote == nil || r.lastAnswer > remote.lastAnswer):
			remote = r
		}
	}
	var addresses []netip.AddrPort
	for _, r := range []*record{own, remote} {
		if r != nil {
			addresses = append(addresses, r.address)
		}
	}
	return addresses
}

// recordCheck takes the result of a check and tells whether the target may have turned
// out to be gone.
func (rs *records) recordCheck(now time.Duration, r *record, proof CheckOutcome) (news bool) {
	r.checking = false
	if proof == CheckAllTimedOut && !rs.cutOff(now) {
		r.nextCheck = now
		rs.requestCheck(now, r)
		return false
	}
	r.nextCheck = now + checkInterval
	quiet := now - r.lastAnswer
	if proof == CheckPassed {
		rs.answered(now, r)
		if r.down {
			rs.markUp(r)
			rs.healthChanges = append(rs.healthChanges, HealthChange{Target: r.name, Domain: r.domain, Silence: quiet})
		}
		return false
	}
	r.confirmed = now
	r.refused = proof == CheckRefused
	if r.down {
		return true
	}
	r.down = true
	rs.down = append(rs.down, r)
	rs.healthChanges = append(rs.healthChanges, HealthChange{Target: r.name, Domain: r.domain, Down: true, Missed: r.missed, Silence: quiet})
	rs.checkNeighbours(now, r)
	return true
}

// cutOff tells that no target has been seen to answer for so long that the host is cut
// off. Until then its own link may hold its packets up, and a silence that no witness
// breaks proves nothing.
func (rs *records) cutOff(now time.Duration) bool { return now-rs.lastAnswer >= cutOffAfter }

// markUp ends the belief that a target is dead.
func (rs *records) markUp(r *record) {
	if r.down {
		r.down = false
		rs.down = slices.DeleteFunc(rs.down, func(other *record) bool { return other == r })
	}
}

// checkNeighbours has the other targets of a remote failure domain checked: a
// cut between the domains hides all of them at once.
func (rs *records) checkNeighbours(now time.Duration, r *record) {
	if r.own {
		return
	}
	for _, other := range rs.targets {
		if other.domain == r.domain && other.open+other.pendingSYNs > 0 {
			other.beyondCut = other.beyondCut || other != r && r.seemsGone(now)
			rs.requestCheck(now, other)
		}
	}
}

// nextCheck returns when a target that failed its check is to be checked again.
func (rs *records) nextCheck() (at time.Duration, ok bool) {
	for _, r := range rs.down {
		if !r.checking && (!ok || r.nextCheck < at) {
			at, ok = r.nextCheck, true
		}
	}
	return at, ok
}

// recheck has the targets checked again that failed their check.
func (rs *records) recheck(now time.Duration) {
	for _, r := range rs.down {
		rs.requestCheck(now, r)
	}
}

// keep forgets targets that are neither offered nor have flows.
func (rs *records) keep(offered func(catalog.TargetID) bool) {
	for id, r := range rs.targets {
		if r.open+r.pendingSYNs+r.waiting == 0 && !r.checking && !offered(id) {
			rs.markUp(r)
			delete(rs.targets, id)
		}
	}
}
