package steer

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// record is what the host has seen of one target.
type record struct {
	name   string
	domain *domainRecord
	born   int64
	// offers is the number of openings that wait for an answer.
	offers int
	// waiting is the number of flows with a request that is not answered yet.
	waiting int
	// open is the number of open flows.
	open int
	// lastAnswer is when the target was last seen to answer.
	lastAnswer time.Duration
	// unanswered counts openings in a row without an answer.
	unanswered int
	suspect    bool
	nextProbe  time.Duration
	// warmUntil is when the target stops being slow after its start.
	warmUntil time.Duration
	answers   answerTime
}

// domainRecord is what the host has seen of one failure domain.
type domainRecord struct {
	id         state.DomainID
	own        bool
	lastAnswer time.Duration
	// turned are the times at which targets turned suspect, newest last, since
	// the last answer of any.
	turned    []time.Duration
	suspect   bool
	nextProbe time.Duration
}

// answerTime estimates how long a target takes to answer an opening, as
// RFC 6298 does for round trips.
type answerTime struct {
	mean      time.Duration
	deviation time.Duration
}

func (a *answerTime) add(sample time.Duration) {
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

// patience is how long to wait for an answer before offering the opening to
// another target.
func (r *record) patience() time.Duration {
	if r.answers.mean == 0 {
		if r.domain.own {
			return offerLocal
		}
		return offerRemote
	}
	return min(max(r.answers.mean+offerDeviations*r.answers.deviation, offerMin), offerMax)
}

// records finds the records of targets and domains.
type records struct {
	own     state.DomainID
	targets map[catalog.TargetID]*record
	domains map[state.DomainID]*domainRecord
	// beliefs are the changes since they were last taken.
	beliefs []Belief
}

func newRecords(own state.DomainID) records {
	return records{
		own:     own,
		targets: make(map[catalog.TargetID]*record),
		domains: make(map[state.DomainID]*domainRecord),
	}
}

func (rs *records) of(target *catalog.Target, now time.Duration) *record {
	r := rs.targets[target.ID]
	if r == nil {
		r = &record{
			name:       target.Name,
			domain:     rs.domain(target.Domain),
			born:       target.Born,
			lastAnswer: now,
			warmUntil:  now + target.WarmUp,
		}
		rs.targets[target.ID] = r
	}
	return r
}

func (rs *records) domain(id state.DomainID) *domainRecord {
	d := rs.domains[id]
	if d == nil {
		d = &domainRecord{id: id, own: id == rs.own}
		rs.domains[id] = d
	}
	return d
}

// answered notes that a target has answered something.
func (rs *records) answered(now time.Duration, r *record) {
	silence := now - r.lastAnswer
	r.lastAnswer = now
	r.unanswered = 0
	d := r.domain
	d.lastAnswer = now
	d.turned = d.turned[:0]
	if d.suspect {
		d.suspect = false
		rs.believe(Belief{Domain: d.id, Silence: silence})
	}
	if r.suspect {
		r.suspect = false
		rs.believe(Belief{Target: r.name, Domain: d.id, Silence: silence})
	}
}

// unansweredOpening notes that an opening at the target stayed without answer.
func (rs *records) unansweredOpening(now time.Duration, r *record) {
	r.unanswered++
	if r.unanswered < suspectAfter || r.suspect {
		return
	}
	r.suspect = true
	r.nextProbe = now + probeInterval
	rs.believe(Belief{Target: r.name, Domain: r.domain.id, Suspect: true, Unanswered: r.unanswered, Silence: now - r.lastAnswer})
	rs.suspectDomain(now, r.domain)
}

// suspectDomain suspects a whole failure domain beyond a cut. The own domain
// has no other to go to first and is judged target by target.
func (rs *records) suspectDomain(now time.Duration, d *domainRecord) {
	for len(d.turned) > 0 && now-d.turned[0] > domainWindow {
		d.turned = d.turned[1:]
	}
	d.turned = append(d.turned, now)
	if d.own || d.suspect || len(d.turned) < domainSuspects {
		return
	}
	d.suspect = true
	d.nextProbe = now + probeInterval
	rs.believe(Belief{Domain: d.id, Suspect: true, Unanswered: len(d.turned), Silence: now - d.lastAnswer})
}

func (rs *records) believe(b Belief) { rs.beliefs = append(rs.beliefs, b) }

// barred tells that a target is to get no new flow now: it or its domain is
// suspect and no probe is due.
func (r *record) barred(now time.Duration) bool {
	if r.domain.suspect && now < r.domain.nextProbe {
		return true
	}
	return r.suspect && now < r.nextProbe
}

// probed notes that a suspect target gets an opening as a probe.
func (r *record) probed(now time.Duration) {
	if r.domain.suspect {
		r.domain.nextProbe = now + probeInterval
	}
	if r.suspect {
		r.nextProbe = now + probeInterval
	}
}
