package steer

import (
	"math"
	"time"
)

// Reliability of suspicions. The load that this answers: the fabric remaps most flows when a
// host joins or leaves. The hosts then see many SYNs and data without an answer, whose
// answers go through others, and all check the same targets at once; a check that times out
// in such a crowd may have met a full queue of connections.
const (
	// alarmHalfLife is the time in which a check counts half.
	alarmHalfLife = 500 * time.Millisecond
	// minFalseAlarms is the number of recent checks that found their target up, and
	// maxTrueAlarmShare the number of failed ones as a fraction of them, from and below which
	// suspicions are unreliable.
	minFalseAlarms    = 4
	maxTrueAlarmShare = 0.34
	// maxSuspectedAttempts is the number of targets that are suspected because one SYN stays
	// unanswered. If more of them are silent, the path of the flow has changed.
	maxSuspectedAttempts = 2
)

// alarms counts the recent checks by what they found.
type alarms struct {
	passed float64
	failed float64
	at     time.Duration
}

// record counts a check.
func (a *alarms) record(now time.Duration, passed bool) {
	a.fade(now)
	if passed {
		a.passed++
	} else {
		a.failed++
	}
}

func (a *alarms) fade(now time.Duration) {
	factor := math.Exp2(-float64(now-a.at) / float64(alarmHalfLife))
	a.passed *= factor
	a.failed *= factor
	a.at = now
}

// unreliable reports whether most recent suspicions were wrong, so that one failed check is
// no proof.
func (a *alarms) unreliable(now time.Duration) bool {
	a.fade(now)
	return a.passed >= minFalseAlarms && a.failed < maxTrueAlarmShare*a.passed
}
