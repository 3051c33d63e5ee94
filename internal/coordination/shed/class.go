package shed

import (
	"slices"
	"time"
)

const (
	// activePart is the fraction of the answers from which a class counts when priorities are
	// ranked: a route that is hardly used makes no other one less important.
	activePart = 0.02
	// partWeight is the weight of one window in a class's fraction of the answers.
	partWeight = 0.1
)

// class is what was observed of the routes of one priority.
type class struct {
	priority int
	// part is the moving mean, over windows, of the fraction of answers that the class has.
	part      float64
	objective time.Duration
	baseline  baseline
	// window are the answers of this window, late the number of those later than the
	// objective.
	window waits
	late   int
	// rejected is the number of rejections in this window.
	rejected int
	// sizes tell rejections from answers, windowSizes are the sizes in this window.
	sizes       sizes
	windowSizes []uint32
}

// maxShortShare is the fraction of short answers in a window without a queue above which they
// are no rejections: answers have become shorter.
const maxShortShare = 0.25

// rejects reports whether an answer is a rejection.
func (c *class) rejects(a Answer) bool { return c.sizes.rejection(a.Size) }

// learnSizes learns from a window without a queue how long answers are.
func (c *class) learnSizes() {
	if float64(c.rejected) <= maxShortShare*float64(len(c.windowSizes)) {
		c.windowSizes = slices.DeleteFunc(c.windowSizes, c.sizes.rejection)
	}
	c.sizes.learn(c.windowSizes)
	c.windowSizes = c.windowSizes[:0]
}

// startWindow begins a window.
func (c *class) startWindow() {
	c.window = waits{}
	c.late = 0
	c.rejected = 0
	c.windowSizes = c.windowSizes[:0]
}

// record adds an answer to the window, or to the first baseline.
func (c *class) record(a Answer) {
	c.objective = a.Objective
	if a.Size > 0 && len(c.windowSizes) < keptSizes {
		c.windowSizes = append(c.windowSizes, a.Size)
	}
	if !c.baseline.ready() {
		c.baseline.learnFirst(a.Took)
		if c.baseline.ready() {
			c.learnSizes()
		}
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
