package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Reports of other hosts. The load that they answer: many targets fall silent at once, and
// each host has flows at each of them but few requests, so that it takes seconds until
// every host has noticed by itself.
const (
	// reportLifetime is how long a report keeps new flows away from its target.
	reportLifetime = time.Second
	// maxReportedChecks bounds the checks that run when another one is started because of a
	// report: many at once would take the host's processor time from its packets.
	maxReportedChecks = 4
)

// RecordReport records that another host has found a target down. That is a hint only: this
// host checks the target itself if it has flows there, and prefers others meanwhile. In an
// overload it does nothing, since full targets accept no connection either.
func (e *Engine) RecordReport(now time.Duration, target catalog.TargetID) {
	r := e.targets.byID[target]
	if r == nil || r.down || e.targets.totalLoad.possiblyOverloaded() {
		return
	}
	r.avoidUntil = now + reportLifetime
	if r.openFlows+r.pendingSYNs > 0 {
		e.targets.reported = append(e.targets.reported, r)
		e.targets.checkReported(now)
	}
}

// checkReported requests checks of reported targets while few checks run.
func (t *targetTable) checkReported(now time.Duration) {
	for len(t.reported) > 0 && t.runningChecks < maxReportedChecks {
		r := t.reported[0]
		t.reported = t.reported[1:]
		if !r.down {
			t.requestCheck(now, r)
		}
	}
}
