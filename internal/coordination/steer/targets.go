package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/estimate"
	"github.com/guavawharf/guavawharf/internal/coordination/outcomes"
	"github.com/guavawharf/guavawharf/internal/coordination/shed"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// targetRecord is what this host has observed of one target.
type targetRecord struct {
	id      catalog.TargetID
	name    string
	address netip.AddrPort
	// healthPath is the HTTP path where the target reports its name.
	healthPath string
	domain     state.DomainID
	pool       catalog.PoolID
	limiter    *shed.Limiter
	// free are the targets of the pool that last answered without a queue.
	free *freeTargets
	// source is what the limiter keeps of the target.
	source shed.Source
	// estimate is that of the queue at the target, domainEstimate that of its failure domain.
	estimate       estimate.Target
	domainEstimate *domainEstimate
	// selected orders the targets by when this host last selected them for a new flow. Among
	// those that it never did the order is random; 0 is none yet.
	selected float64
	// offeredIn is the number of the latest view in which the target takes new flows.
	offeredIn int
	local     bool
	startedAt int64
	// pendingSYNs is the number of SYNs forwarded to the target whose flow is not open yet.
	pendingSYNs int
	// waiting is the number of flows that await an answer to a request.
	waiting int
	// openFlows is the number of open flows.
	openFlows int
	// lastAnswer is when the target was last seen to answer.
	lastAnswer time.Duration
	// missed counts consecutive SYNs and retransmissions without an answer;
	// missedRetransmission is set if retransmitted data was among them.
	missed               int
	missedRetransmission bool
	// partitionSuspected is set if another target of the same remote failure domain is
	// down.
	partitionSuspected bool
	// avoidUntil is until when new flows go to other targets since another host reported
	// this one as down.
	avoidUntil time.Duration
	// checking is set while a check of the target runs; nextCheck is when the next one may
	// start.
	checking  bool
	nextCheck time.Duration
	// checkOutdated is set if the target has started again since the running check began.
	checkOutdated bool
	// down is set from a failed check until one passes; lastFailure is the time of the
	// latest failed check, refused whether its outcome was CheckRefused.
	down        bool
	lastFailure time.Duration
	refused     bool
	// upSince is when the target was found up again after it was down; negative if never.
	upSince time.Duration
	// warmUpUntil is when the target stops being slow after its start.
	warmUpUntil  time.Duration
	handshakeRTT rttEstimator
	// totalLoad is the load of all targets, alarms counts the recent checks of all.
	totalLoad *loadTracker
	alarms    *alarms
}

// confirmedDown reports whether the target is down, by evidence recent and strong enough
// to reset flows. In an overload a target drops packets and refuses connections, so that
// only unanswered retransmissions together with a long silence count.
func (r *targetRecord) confirmedDown(now time.Duration) bool {
	longSilent := now-r.lastAnswer >= silenceTimeout
	switch {
	case !r.down || now-r.lastFailure > maxEvidenceAge:
		return false
	case r.totalLoad.overloaded(), r.suspicionUnreliable(now):
		return r.missedRetransmission && longSilent
	}
	return longSilent || r.missedRetransmission || r.partitionSuspected || r.refused && !r.totalLoad.possiblyOverloaded()
}

// likelyDown reports whether the target is down by weaker evidence: a recent failed check
// alone suffices unless the targets may be overloaded. An overloaded target may accept no
// connection either, while it still acknowledges data at once, but then the other targets
// are overloaded, too.
func (r *targetRecord) likelyDown(now time.Duration) bool {
	if r.confirmedDown(now) {
		return true
	}
	recent := r.down && now-r.lastFailure <= maxEvidenceAge
	return recent && !r.totalLoad.possiblyOverloaded() && !r.suspicionUnreliable(now)
}

// suspicionUnreliable reports whether the failed check of the target proves nothing: it
// timed out while most other suspicions were wrong.
func (r *targetRecord) suspicionUnreliable(now time.Duration) bool {
	return !r.refused && r.alarms.unreliable(now)
}

// resetEvidence returns the evidence for a reset of a flow at the target.
func (r *targetRecord) resetEvidence(now time.Duration) Evidence {
	return Evidence{Target: r.name, Age: now - r.lastFailure, Waiting: r.waiting, Open: r.openFlows}
}

// restarted reports whether the target has started again since it was recorded. An entry
// without a start time says nothing, and one of an earlier start is an old one.
func (r *targetRecord) restarted(target *catalog.Target) bool {
	return r.startedAt != 0 && target.StartMillis > r.startedAt
}

// avoided reports whether new flows should go to other targets: this one is down, or was
// reported by another host.
func (r *targetRecord) avoided(now time.Duration) bool { return r.down || now < r.avoidUntil }

// freeTargets are the targets of one pool that last answered without a queue.
type freeTargets = outcomes.FreeTargets[*targetRecord]

// neverDown is the time since which a target is up that was never down: long before any
// slow start.
const neverDown = -time.Hour

// targetTable holds the records of the targets.
type targetTable struct {
	localDomain state.DomainID
	byID        map[catalog.TargetID]*targetRecord
	// checks and healthChanges collect entries until the next DrainChecks and
	// DrainHealthChanges.
	checks        []Check
	healthChanges []HealthChange
	// runningChecks is the number of checks without a result. reported are the targets to
	// check because other hosts found them down, the earliest report first.
	runningChecks int
	reported      []*targetRecord
	// down are the targets whose last check failed.
	down      []*targetRecord
	totalLoad loadTracker
	alarms    alarms
	limiters  limiters
	// free are the targets that last answered without a queue, by pool.
	free map[catalog.PoolID]*freeTargets
	// estimates are those of the failure domains, by pool.
	estimates map[catalog.PoolID]estimates
	// selections counts the targets selected for new flows.
	selections float64
	// lastAnswer is when any target was last seen to answer.
	lastAnswer time.Duration
	// views numbers the views.
	views int
	// drained are the drained failure domains, reaches what is known of the paths to the
	// targets of the others.
	drained map[state.DomainID]bool
	reaches reaches
}

func newTargetTable(localDomain state.DomainID) *targetTable {
	return &targetTable{
		localDomain: localDomain,
		byID:        make(map[catalog.TargetID]*targetRecord),
		limiters:    make(limiters),
		free:        make(map[catalog.PoolID]*freeTargets),
		estimates:   make(map[catalog.PoolID]estimates),
		reaches:     make(reaches),
	}
}

// getOrCreate returns the record of a target.
func (t *targetTable) getOrCreate(target *catalog.Target, now time.Duration) *targetRecord {
	r := t.byID[target.ID]
	if r == nil {
		domain := t.domainEstimate(target)
		r = &targetRecord{
			source:         shed.Source{Domain: target.Domain},
			estimate:       estimate.NewTarget(&domain.Domain),
			domainEstimate: domain,
			id:             target.ID,
			name:           target.Name,
			address:        target.Address,
			healthPath:     target.HealthPath,
			domain:         target.Domain,
			pool:           target.Pool,
			limiter:        t.limiters.of(target.Pool),
			free:           t.freeTargets(target.Pool),
			local:          target.Domain == t.localDomain,
			startedAt:      target.StartMillis,
			upSince:        neverDown,
			lastAnswer:     now,
			warmUpUntil:    now + target.WarmUp,
			totalLoad:      &t.totalLoad,
			alarms:         &t.alarms,
		}
		t.byID[target.ID] = r
	}
	return r
}

// freeTargets returns the targets of a pool that last answered without a queue.
func (t *targetTable) freeTargets(pool catalog.PoolID) *freeTargets {
	free := t.free[pool]
	if free == nil {
		free = new(freeTargets)
		t.free[pool] = free
	}
	return free
}

// domainEstimate returns the estimate of a target's pool in its failure domain.
func (t *targetTable) domainEstimate(target *catalog.Target) *domainEstimate {
	pool := t.estimates[target.Pool]
	if pool == nil {
		pool = make(estimates)
		t.estimates[target.Pool] = pool
	}
	return pool.of(target.Domain)
}

// markSelected records that a target was selected for a new flow.
func (t *targetTable) markSelected(r *targetRecord) {
	t.selections++
	r.selected = t.selections
}

// recordAnswer records that a target answered a packet. A target that is down stays so
// until a check passes: a network partition may let its answers through, and clients
// still acknowledge what it sent.
func (t *targetTable) recordAnswer(now time.Duration, r *targetRecord) {
	r.lastAnswer = now
	r.missed = 0
	r.missedRetransmission = false
	r.partitionSuspected = false
	t.lastAnswer = now
	t.recordReached(now, r)
}

// recordMiss records that a target left a SYN or data unanswered and requests a check of
// it.
func (t *targetTable) recordMiss(now time.Duration, r *targetRecord, retransmission bool) {
	r.missed++
	wasDown := r.confirmedDown(now)
	// An answer since the first transmission shows that the target was up: the data was
	// lost.
	if retransmission && now-r.lastAnswer >= minRetransmitDelay {
		r.missedRetransmission = true
	}
	t.requestCheck(now, r)
	if !wasDown && r.confirmedDown(now) {
		t.checkDomain(now, r)
	}
}

// markUp clears the down state of a target.
func (t *targetTable) markUp(r *targetRecord) {
	if r.down {
		r.down = false
		t.down = slices.DeleteFunc(t.down, func(other *targetRecord) bool { return other == r })
	}
}

// evictUnused removes the records of targets without flows and without a running check
// for which known returns false.
func (t *targetTable) evictUnused(known func(catalog.TargetID) bool) {
	for id, r := range t.byID {
		if r.openFlows+r.pendingSYNs+r.waiting == 0 && !r.checking && !known(id) {
			t.markUp(r)
			delete(t.byID, id)
		}
	}
}
