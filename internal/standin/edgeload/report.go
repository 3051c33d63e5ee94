package edgeload

import (
	"fmt"
	"slices"
	"strings"
)

// Report holds the results of a run as clients and targets saw them. The edge
// subcommand writes it as JSON with the field names as keys.
type Report struct {
	Requests int
	Served   int
	// Late counts served requests that took longer than 250 ms.
	Late int
	// Resets counts attempts to open a flow, and requests, that ended in a reset.
	// Unanswered counts those that failed otherwise, such as with no answer within
	// 3 s.
	Resets     int
	Unanswered int
	// WrongAnswers counts answers to another request, and those from another target
	// than the flow's first answer. RanTwice counts requests that ran more than once.
	WrongAnswers int
	RanTwice     int
	MedianMillis float64
	P99Millis    float64
}

// GuaranteeViolated reports whether a request got a wrong answer or ran more than
// once.
func (r Report) GuaranteeViolated() bool { return r.WrongAnswers+r.RanTwice > 0 }

// String returns the report as text with one result on each line.
func (r Report) String() string {
	lines := []string{
		fmt.Sprintf("requests       %d", r.Requests),
		fmt.Sprintf("served         %d (%d late, median %.1f ms, p99 %.1f ms)", r.Served, r.Late, r.MedianMillis, r.P99Millis),
		fmt.Sprintf("reset          %d", r.Resets),
		fmt.Sprintf("unanswered     %d", r.Unanswered),
		fmt.Sprintf("wrong answers  %d", r.WrongAnswers),
		fmt.Sprintf("ran twice      %d", r.RanTwice),
	}
	return strings.Join(slices.Concat(lines, []string{""}), "\n")
}
