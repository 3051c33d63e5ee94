package shed

import "time"

const (
	// baselineMinAnswers is the number of answers that make the first baseline.
	baselineMinAnswers = 32
	// baselineWeight is the weight of one window in the baseline.
	baselineWeight = 0.02
)

// waits accumulates the times to an answer. Their mean is weighted by the times
// themselves: the many quick rejections of a full target would hide in a plain mean how
// long the requests wait that it executes.
type waits struct {
	count int
	// sum and squares are sums of the times in seconds and of their squares.
	sum     float64
	squares float64
}

func (w *waits) add(took time.Duration) {
	t := took.Seconds()
	w.count++
	w.sum += t
	w.squares += t * t
}

// mean returns the mean time, weighted by the times.
func (w *waits) mean() time.Duration {
	if w.sum == 0 {
		return 0
	}
	return time.Duration(w.squares / w.sum * float64(time.Second))
}

// baseline is the mean wait without an overload: the target's work, the network, and the
// client's delay until it acknowledges the answer.
type baseline struct {
	// first collects the answers until there is a baseline.
	first waits
	wait  time.Duration
}

// ready reports whether there is a baseline.
func (b *baseline) ready() bool { return b.wait > 0 }

// learnFirst adds an answer to those that make the first baseline.
func (b *baseline) learnFirst(took time.Duration) {
	b.first.add(took)
	if b.first.count >= baselineMinAnswers {
		b.wait = b.first.mean()
	}
}

// approach moves the baseline towards the mean of a window.
func (b *baseline) approach(wait time.Duration) {
	b.wait += time.Duration(baselineWeight * float64(wait-b.wait))
}
