package shed

import "time"

const (
	// activePart is the part of the answers from which a class counts when priorities are
	// compared: a route that is hardly used makes no other one less important.
	activePart = 0.02
	// partWeight is the weight of one window in a class's part of the answers.
	partWeight = 0.1
)

// class is what was observed of the routes of one priority.
type class struct {
	priority int
	// part is the part of all answers that were those of the class, lately.
	part      float64
	objective time.Duration
	baseline  baseline
	// window are the answers of this window, late the number of those later than the
	// objective.
	window waits
	late   int
	// rejected is the number of rejections in this window, short the number of answers that
	// look like one. shortAnswersUsual is set if answers without a queue look like that, too.
	rejected          int
	short             int
	shortAnswersUsual bool
}

// maxShortShare is the fraction of answers in a window without a queue that look like
// rejections above which such answers are usual.
const maxShortShare = 0.25

// rejects reports whether an answer is a rejection: it is short, and short answers are not
// usual.
func (c *class) rejects(a Answer) bool { return a.Short && !c.shortAnswersUsual }

// learnFirst adds an answer to the first baseline.
func (c *class) learnFirst(a Answer) {
	c.baseline.learnFirst(a.Took)
	c.shortAnswersUsual = float64(c.short) > maxShortShare*float64(c.baseline.first.count)
}

// learnShortAnswers learns from a window without a queue whether short answers are usual.
func (c *class) learnShortAnswers() {
	c.shortAnswersUsual = float64(c.short) > maxShortShare*float64(c.window.count)
}

// record adds an answer to the window, or to the first baseline.
func (c *class) record(a Answer) {
	c.objective = a.Objective
	if a.Short {
		c.short++
	}
	if !c.baseline.ready() {
		c.learnFirst(a)
		return
	}
	c.window.add(a.Took)
	if c.rejects(a) {
		c.rejected++
	}
	if a.Took > a.Objective {
		c.late++
	}
}

// queueShare returns the mean time in the queue as a fraction of the objective.
func (c *class) queueShare() float64 {
	return float64(c.window.mean()-c.baseline.wait) / float64(c.objective)
}

// active reports whether the class has a part in the requests that counts.
func (c *class) active() bool { return c.part >= activePart }

// recordPart moves the part of the class towards that in a window of answers.
func (c *class) recordPart(answers int) {
	part := float64(c.window.count) / float64(answers)
	c.part += partWeight * (part - c.part)
}
