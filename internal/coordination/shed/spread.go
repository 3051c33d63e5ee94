package shed

import "github.com/guavawharf/guavawharf/internal/state"

const (
	// maxQueuedTargets is the fraction of a failure domain's targets with a queue below which
	// the domain has room.
	maxQueuedTargets = 0.5
	// minJudgedTargets is the number of a domain's targets, or all of them, that must have
	// answered for the domain to be judged: the first one or two may be just the slow ones.
	// maxCarriedWindows is for how many windows their answers are collected.
	minJudgedTargets  = 4
	maxCarriedWindows = 8
)

// Source is what a limiter keeps of one target, to tell an overload of the service from a
// few slow targets. It belongs to the record of the target.
type Source struct {
	// Domain is the failure domain of the target.
	Domain state.DomainID
	// period is the period of the domain's count in which the target last answered, queued
	// whether it had a queue or rejected a request in it.
	period uint64
	queued bool
}

// spread counts, for each failure domain, the targets that answered in a window, or in a few
// windows if one shows too few of them.
type spread map[state.DomainID]*domainCount

type domainCount struct {
	// targets is the number of targets of the domain, 0 if it is not known.
	targets  int
	answered int
	queued   int
	// period numbers the times that the count was begun anew, carried is the number of
	// windows since then.
	period  uint64
	carried int
}

// of returns the count of a failure domain.
func (s spread) of(domain state.DomainID) *domainCount {
	count := s[domain]
	if count == nil {
		count = &domainCount{period: 1}
		s[domain] = count
	}
	return count
}

// record counts the target of an answer, once a period.
func (s spread) record(source *Source, queued bool) {
	count := s.of(source.Domain)
	if source.period != count.period {
		source.period = count.period
		source.queued = false
		count.answered++
	}
	if queued && !source.queued {
		source.queued = true
		count.queued++
	}
}

// setTargets sets the number of targets of each domain.
func (s spread) setTargets(targets map[state.DomainID]int) {
	for domain, count := range s {
		count.targets = targets[domain]
	}
	for domain, number := range targets {
		s.of(domain).targets = number
	}
}

// judged reports whether enough targets have answered, or been waited for long enough.
func (c *domainCount) judged() bool {
	return c.answered >= min(minJudgedTargets, c.targets) || c.carried >= maxCarriedWindows
}

// hasRoom reports whether a domain may take more requests: fewer than half of its targets
// that answered have a queue, or too few of them have answered to know.
func (s spread) hasRoom() bool {
	for _, count := range s {
		switch {
		case count.answered == 0:
		case float64(count.queued) < maxQueuedTargets*float64(count.answered), !count.judged():
			return true
		}
	}
	return false
}

// endWindow begins the counts anew that were judged, and carries the others on.
func (s spread) endWindow() {
	for _, count := range s {
		if count.answered == 0 || count.judged() {
			*count = domainCount{targets: count.targets, period: count.period + 1}
			continue
		}
		count.carried++
	}
}
