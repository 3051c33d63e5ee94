// Package outcomes counts a host's decisions, and how many of them later events showed to be
// wrong. The counts tell an operator which decision doesn't fit the work; nothing is decided
// by them.
package outcomes

import "time"

// Decision is a kind of decision. Its value appears in metrics.
type Decision string

const (
	// Placing selects a target for a new flow. It was wrong if the flow's first request was
	// rejected or answered late while another target of the pool had no queue.
	Placing Decision = "placing"
	// Retrying forwards a SYN to another target. It was wrong if an earlier one had answered.
	Retrying Decision = "retrying"
	// Refusing resets a new flow in an overload. It was wrong if the targets neither had a
	// queue nor rejected anything meanwhile.
	Refusing Decision = "refusing"
	// Suspecting has a target checked. It was wrong if the target answered.
	Suspecting Decision = "suspecting"
)

// Count is the number of decisions made, and of those that were wrong.
type Count struct {
	Made  uint64
	Wrong uint64
}

// Account collects the counts of all decisions. The zero value is ready to use. It is not
// safe for concurrent use.
type Account struct {
	counts map[Decision]Count
}

// Add counts decisions.
func (a *Account) Add(decision Decision, count Count) {
	if a.counts == nil {
		a.counts = make(map[Decision]Count)
	}
	sum := a.counts[decision]
	sum.Made += count.Made
	sum.Wrong += count.Wrong
	a.counts[decision] = sum
}

// Made counts a decision that was made.
func (a *Account) Made(decision Decision) { a.Add(decision, Count{Made: 1}) }

// Wrong counts that a decision, which Made has counted, was wrong.
func (a *Account) Wrong(decision Decision) { a.Add(decision, Count{Wrong: 1}) }

// Drain returns the counts since the last call.
func (a *Account) Drain() map[Decision]Count {
	counts := a.counts
	a.counts = nil
	return counts
}

// FreeTargets remembers which targets of a pool last answered without a queue: the latest
// one, and the latest other one. The zero value is ready to use.
type FreeTargets[T comparable] struct {
	latest, other     T
	latestAt, otherAt time.Duration
}

// Record records that a target answered without a queue.
func (f *FreeTargets[T]) Record(now time.Duration, target T) {
	if target != f.latest {
		f.other, f.otherAt = f.latest, f.latestAt
		f.latest = target
	}
	f.latestAt = now
}

// OtherSince reports whether another target than the given one answered without a queue
// since a time.
func (f *FreeTargets[T]) OtherSince(since time.Duration, target T) bool {
	if f.latest == target {
		return f.otherAt >= since
	}
	return f.latestAt >= since
}
