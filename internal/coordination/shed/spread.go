package shed

import "github.com/guavawharf/guavawharf/internal/state"

const (
	// maxQueuedTargets is the fraction of a failure domain's targets with a queue below which
	// the domain has room.
	maxQueuedTargets = 0.5
	// minJudgedTargets is the number of targets of a domain whose answers show whether it has
	// room; in a smaller domain it is all of them. The first one or two may happen to be slow
	// ones, and a domain without any answer may not have been tried.
	minJudgedTargets = 4
	// maxAwaitedWindows is the number of windows with signs of an overload after which a domain
	// is judged by fewer answers.
	maxAwaitedWindows = 4
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

// domainCount counts the targets of one failure domain.
type domainCount struct {
	// targets is the number of targets of the domain, 0 if it is not known.
	targets  int
	answered int
	queued   int
	// period numbers the times that the count was begun anew.
	period uint64
	// awaited is the number of consecutive windows with signs of an overload in which too few
	// targets had answered.
	awaited int
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

// enough reports whether enough targets have answered to judge the domain.
func (c *domainCount) enough() bool { return c.answered >= min(minJudgedTargets, c.targets) }

// hasRoom reports whether the domain may take more requests: fewer than half of its targets
// that answered have a queue, or too few of them have answered to know.
func (c *domainCount) hasRoom() bool {
	if float64(c.queued) < maxQueuedTargets*float64(c.answered) {
		return true
	}
	return !c.enough() && c.awaited < maxAwaitedWindows
}

// hasRoom reports whether any domain may take more requests.
func (s spread) hasRoom() bool {
	for _, count := range s {
		if count.hasRoom() {
			return true
		}
	}
	return false
}

// endWindow begins the counts anew. In an overload, or with signs of one, those of too few
// targets are carried on.
func (s spread) endWindow(overload bool) {
	for _, count := range s {
		if overload && !count.enough() {
			count.awaited++
			continue
		}
		*count = domainCount{targets: count.targets, period: count.period + 1}
	}
}
