package steer

import (
	"net/netip"
	"time"
)

// requestCheck requests a check of a target unless one is running or ended less than
// checkInterval ago.
func (t *targetTable) requestCheck(now time.Duration, r *targetRecord) {
	if r.checking || now < r.nextCheck {
		return
	}
	r.checking = true
	t.runningChecks++
	check := Check{Target: r.id, Address: r.address, HealthPath: r.healthPath, Witnesses: t.witnesses(r)}
	if r.down {
		check.ExpectedName = r.name
	}
	t.checks = append(t.checks, check)
}

// witnesses returns the addresses of the two targets that answered last, one in the
// local failure domain and one in another. Targets that are down or missed an answer
// are left out.
func (t *targetTable) witnesses(checked *targetRecord) []netip.AddrPort {
	var local, remote *targetRecord
	for _, r := range t.byID {
		switch {
		case r == checked || r.down || r.missed > 0:
		case r.local && (local == nil || r.lastAnswer > local.lastAnswer):
			local = r
		case !r.local && (remote == nil || r.lastAnswer > remote.lastAnswer):
			remote = r
		}
	}
	var addresses []netip.AddrPort
	for _, r := range []*targetRecord{local, remote} {
		if r != nil {
			addresses = append(addresses, r.address)
		}
	}
	return addresses
}

// recordCheck records the result of a check and returns whether the target may have been
// found down. On CheckAllTimedOut the check is repeated at once unless the host is
// isolated.
func (t *targetTable) recordCheck(now time.Duration, r *targetRecord, outcome CheckOutcome) (mayBeDown bool) {
	r.checking = false
	t.runningChecks--
	defer t.checkReported(now)
	if outcome == CheckAllTimedOut && !t.isolated(now) {
		r.nextCheck = now
		t.requestCheck(now, r)
		return false
	}
	r.nextCheck = now + checkInterval
	if outcome == CheckInconclusive {
		return false
	}
	t.alarms.record(now, outcome == CheckPassed)
	silence := now - r.lastAnswer
	if outcome == CheckPassed {
		t.recordAnswer(now, r)
		r.avoidUntil = 0
		if r.down {
			t.markUp(r)
			r.upSince = now
			t.healthChanges = append(t.healthChanges, HealthChange{ID: r.id, Target: r.name, Domain: r.domain, Silence: silence})
		}
		return false
	}
	r.lastFailure = now
	r.refused = outcome == CheckRefused
	if r.down {
		return true
	}
	r.down = true
	t.down = append(t.down, r)
	t.healthChanges = append(t.healthChanges, HealthChange{
		ID: r.id, Target: r.name, Domain: r.domain, Down: true, Missed: r.missed, Silence: silence,
		Report: !t.totalLoad.possiblyOverloaded(),
	})
	t.checkDomain(now, r)
	return true
}

// isolated reports whether no target has answered for so long that the host counts as
// isolated. Until then its own link may be delaying its packets, and a timeout of both
// the target and the witnesses proves nothing.
func (t *targetTable) isolated(now time.Duration) bool { return now-t.lastAnswer >= isolatedAfter }

// checkDomain requests checks of the targets with flows in the failure domain of r if it
// is a remote one: a network partition hides all of them at once.
func (t *targetTable) checkDomain(now time.Duration, r *targetRecord) {
	if r.local {
		return
	}
	for _, other := range t.byID {
		if other.domain == r.domain && other.openFlows+other.pendingSYNs > 0 {
			other.partitionSuspected = other.partitionSuspected || other != r && r.likelyDown(now)
			t.requestCheck(now, other)
		}
	}
}

// nextRecheck returns when the first down target is due for another check.
func (t *targetTable) nextRecheck() (at time.Duration, ok bool) {
	for _, r := range t.down {
		if !r.checking && t.inUse(r) && (!ok || r.nextCheck < at) {
			at, ok = r.nextCheck, true
		}
	}
	return at, ok
}

// recheckDown requests checks of the down targets that are due.
func (t *targetTable) recheckDown(now time.Duration) {
	for _, r := range t.down {
		if t.inUse(r) {
			t.requestCheck(now, r)
		}
	}
}

// inUse reports whether a target may take new flows or has flows here. Whether one that has
// left is back is of no use to anybody.
func (t *targetTable) inUse(r *targetRecord) bool {
	return r.offeredIn == t.views || r.openFlows+r.pendingSYNs > 0
}
