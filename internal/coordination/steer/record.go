package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// targetRecord is what the host has seen of one target.
type targetRecord struct {
	id      catalog.TargetID
	name    string
	address netip.AddrPort
	// healthPath is where the target tells its name over HTTP.
	healthPath string
	domain     state.DomainID
	local      bool
	startedAt  int64
	// pendingSYNs is the number of openings that wait for an answer.
	pendingSYNs int
	// waiting is the number of flows with a request that is not answered yet.
	waiting int
	// openFlows is the number of openFlows flows.
	openFlows int
	// lastAnswer is when the target was last seen to answer.
	lastAnswer time.Duration
	// missed counts openings and repeats in a row without an answer; missedData tells
	// that there was a repeat among them.
	missed               int
	missedRetransmission bool
	// partitionSuspected tells that another target of the same remote failure domain is gone.
	partitionSuspected bool
	// checking tells that a check of the target's address runs; nextCheck is when
	// the next may start.
	checking  bool
	nextCheck time.Duration
	// down tells that a check failed; confirmed is when the last one did, and refused
	// that the target refused it.
	down        bool
	lastFailure time.Duration
	refused     bool
	// warmUpUntil is when the target stops being slow after its start.
	warmUpUntil  time.Duration
	handshakeRTT rttEstimator
	// totalLoad is the work of totalLoad targets.
	totalLoad *loadTracker
}

// confirmedDown tells that the target does not answer, by evidence that is recent enough
// to reset flows by. In an overload a target drops packets and refuses connections, so
// that only data repeated for long counts.
func (r *targetRecord) confirmedDown(now time.Duration) bool {
	silent := now-r.lastAnswer >= silenceTimeout
	switch {
	case !r.down || now-r.lastFailure > maxEvidenceAge:
		return false
	case r.totalLoad.overloaded():
		return r.missedRetransmission && silent
	}
	return silent || r.missedRetransmission || r.partitionSuspected || r.refused && !r.totalLoad.possiblyOverloaded()
}

// likelyDown tells so by silence alone. A target that takes no connection may be
// overloaded, as others then are, too; it still acknowledges data at once.
func (r *targetRecord) likelyDown(now time.Duration) bool {
	return r.confirmedDown(now) || r.down && now-r.lastFailure <= maxEvidenceAge && !r.totalLoad.possiblyOverloaded()
}

// resetEvidence is what a reset of a flow at the target rests on.
func (r *targetRecord) resetEvidence(now time.Duration) Evidence {
	return Evidence{Target: r.name, Age: now - r.lastFailure, Waiting: r.waiting, Open: r.openFlows}
}

// avoided tells that the target is to get no new flow now.
func (r *targetRecord) avoided() bool { return r.down || r.checking && r.missed > 0 }

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
func (r *targetRecord) attemptTimeout() time.Duration {
	if r.handshakeRTT.mean == 0 {
		if r.local {
			return initialTimeoutLocal
		}
		return initialTimeoutRemote
	}
	return min(max(r.handshakeRTT.mean+timeoutDeviations*r.handshakeRTT.deviation, minAttemptTimeout), maxAttemptTimeout)
}

// targetTable finds the targetTable of targets.
type targetTable struct {
	localDomain state.DomainID
	byID        map[catalog.TargetID]*targetRecord
	// checks are the checks to start, beliefs the changes since both were taken.
	checks        []Check
	healthChanges []HealthChange
	// down are the targets that failed their check.
	down      []*targetRecord
	totalLoad loadTracker
	// lastAnswer is when any target was last seen to answer.
	lastAnswer time.Duration
}

func newTargetTable(own state.DomainID) *targetTable {
	return &targetTable{localDomain: own, byID: make(map[catalog.TargetID]*targetRecord)}
}

func (rs *targetTable) getOrCreate(target *catalog.Target, now time.Duration) *targetRecord {
	r := rs.byID[target.ID]
	if r == nil {
		r = &targetRecord{
			id:          target.ID,
			name:        target.Name,
			address:     target.Address,
			healthPath:  target.HealthPath,
			domain:      target.Domain,
			local:       target.Domain == rs.localDomain,
			startedAt:   target.Born,
			lastAnswer:  now,
			warmUpUntil: now + target.WarmUp,
			totalLoad:   &rs.totalLoad,
		}
		rs.byID[target.ID] = r
	}
	return r
}

// recordAnswer notes that a target has recordAnswer something. Of a target that failed
// a check only a later check can say otherwise: behind a cut that lets answers
// through, clients still acknowledge what it sent.
func (rs *targetTable) recordAnswer(now time.Duration, r *targetRecord) {
	r.lastAnswer = now
	r.missed = 0
	r.missedRetransmission = false
	r.partitionSuspected = false
	rs.lastAnswer = now
}

// recordMiss notes that an opening or data at a target stayed without an answer,
// and has the target checked.
func (rs *targetTable) recordMiss(now time.Duration, r *targetRecord, data bool) {
	r.missed++
	wasGone := r.confirmedDown(now)
	// An answer since the data was sent first shows that the target lived: the data was
	// lost.
	if data && now-r.lastAnswer >= minRetransmitDelay {
		r.missedRetransmission = true
	}
	rs.requestCheck(now, r)
	if !wasGone && r.confirmedDown(now) {
		rs.checkDomain(now, r)
	}
}

// requestCheck asks for a requestCheck of a target unless one runs or ran just now.
func (rs *targetTable) requestCheck(now time.Duration, r *targetRecord) {
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
func (rs *targetTable) witnesses(checked *targetRecord) []netip.AddrPort {
	var own, remote *targetRecord
	for _, r := range rs.byID {
		switch {
		case r == checked || r.down || r.missed > 0:
		case r.local && (own == nil || r.lastAnswer > own.lastAnswer):
			own = r
		case !r.local && (remote == nil || r.lastAnswer > remote.lastAnswer):
			remote = r
		}
	}
	var addresses []netip.AddrPort
	for _, r := range []*targetRecord{own, remote} {
		if r != nil {
			addresses = append(addresses, r.address)
		}
	}
	return addresses
}

// recordCheck takes the result of a check and tells whether the target may have turned
// out to be gone.
func (rs *targetTable) recordCheck(now time.Duration, r *targetRecord, proof CheckOutcome) (news bool) {
	r.checking = false
	if proof == CheckAllTimedOut && !rs.isolated(now) {
		r.nextCheck = now
		rs.requestCheck(now, r)
		return false
	}
	r.nextCheck = now + checkInterval
	quiet := now - r.lastAnswer
	if proof == CheckPassed {
		rs.recordAnswer(now, r)
		if r.down {
			rs.markUp(r)
			rs.healthChanges = append(rs.healthChanges, HealthChange{Target: r.name, Domain: r.domain, Silence: quiet})
		}
		return false
	}
	r.lastFailure = now
	r.refused = proof == CheckRefused
	if r.down {
		return true
	}
	r.down = true
	rs.down = append(rs.down, r)
	rs.healthChanges = append(rs.healthChanges, HealthChange{Target: r.name, Domain: r.domain, Down: true, Missed: r.missed, Silence: quiet})
	rs.checkDomain(now, r)
	return true
}

// isolated tells that no target has been seen to answer for so long that the host is cut
// off. Until then its own link may hold its packets up, and a silence that no witness
// breaks proves nothing.
func (rs *targetTable) isolated(now time.Duration) bool { return now-rs.lastAnswer >= isolatedAfter }

// markUp ends the belief that a target is dead.
func (rs *targetTable) markUp(r *targetRecord) {
	if r.down {
		r.down = false
		rs.down = slices.DeleteFunc(rs.down, func(other *targetRecord) bool { return other == r })
	}
}

// checkDomain has the other targets of a remote failure domain checked: a
// cut between the domains hides all of them at once.
func (rs *targetTable) checkDomain(now time.Duration, r *targetRecord) {
	if r.local {
		return
	}
	for _, other := range rs.byID {
		if other.domain == r.domain && other.openFlows+other.pendingSYNs > 0 {
			other.partitionSuspected = other.partitionSuspected || other != r && r.likelyDown(now)
			rs.requestCheck(now, other)
		}
	}
}

// nextRecheck returns when a target that failed its check is to be checked again.
func (rs *targetTable) nextRecheck() (at time.Duration, ok bool) {
	for _, r := range rs.down {
		if !r.checking && (!ok || r.nextCheck < at) {
			at, ok = r.nextCheck, true
		}
	}
	return at, ok
}

// recheckDown has the targets checked again that failed their check.
func (rs *targetTable) recheckDown(now time.Duration) {
	for _, r := range rs.down {
		rs.requestCheck(now, r)
	}
}

// evictUnused forgets targets that are neither offered nor have flows.
func (rs *targetTable) evictUnused(offered func(catalog.TargetID) bool) {
	for id, r := range rs.byID {
		if r.openFlows+r.pendingSYNs+r.waiting == 0 && !r.checking && !offered(id) {
			rs.markUp(r)
			delete(rs.byID, id)
		}
	}
}
