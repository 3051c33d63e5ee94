package callers

import (
	"net/netip"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Cause is why a flow broke.
type Cause string

// Causes.
const (
	// CauseReset is a RST, or ICMP, after the flow was open.
	CauseReset Cause = "reset"
	// CauseTimeout is data that was never acknowledged.
	CauseTimeout Cause = "timeout"
	// CauseUnanswered is an opening that was never answered.
	CauseUnanswered Cause = "unanswered opening"
	// CauseStalled is an answer that never became whole.
	CauseStalled Cause = "stalled"
	// CauseBlocked is a request that was not acknowledged for as long.
	CauseBlocked Cause = "blocked"
	// CauseCrossed is an answer to another request.
	CauseCrossed Cause = "crossed"
	// CauseMoved is a UDP flow that another target answered.
	CauseMoved Cause = "moved"
	// CauseUnfinished is a flow that was open at the end of the run.
	CauseUnfinished Cause = "unfinished"
)

// CauseCount counts the flows that broke by one cause.
type CauseCount struct {
	Cause Cause `json:"cause"`
	Count int   `json:"count"`
}

// BrokenFlow tells where a flow broke.
type BrokenFlow struct {
	Group  string         `json:"group"`
	Caller netip.AddrPort `json:"caller"`
	Cause  Cause          `json:"cause"`
	// After is the time since the run began.
	After time.Duration `json:"after_ns"`
	// Exchanges were answered before.
	Exchanges int `json:"exchanges"`
}

// maxBrokenFlows bounds the list of broken flows of a worker.
const maxBrokenFlows = 20

// GroupReport is what the callers of a group saw.
type GroupReport struct {
	Name string `json:"name"`
	// Flows were started. Each is Answered (whole), Refused for good or Broken.
	Flows    int          `json:"flows"`
	Answered int          `json:"answered"`
	Refused  int          `json:"refused"`
	Broken   int          `json:"broken"`
	BrokenBy []CauseCount `json:"broken_by"`
	// Requests were answered whole.
	Requests int `json:"requests"`
	// Refusals counts openings refused, also of flows that were let in later.
	Refusals int `json:"refusals"`
	// RefusalsWithoutRetryAfter counts refusals that said no time to come back.
	RefusalsWithoutRetryAfter int `json:"refusals_without_retry_after"`
	// Shed counts requests that a target answered with "not run".
	Shed        int `json:"shed"`
	Retransmits int `json:"retransmits"`
	// UncleanCloses counts whole flows whose close was not acknowledged.
	UncleanCloses int `json:"unclean_closes"`
	// Answer times in microseconds, from request to whole answer.
	AnswerP50 int64 `json:"answer_p50_us"`
	AnswerP99 int64 `json:"answer_p99_us"`
	AnswerMax int64 `json:"answer_max_us"`
}

// Report is the outcome of a run.
type Report struct {
	Seed   uint64        `json:"seed"`
	Groups []GroupReport `json:"groups"`
	// PacketsSent, Lost and Received count packets of the fabric.
	PacketsSent     int64 `json:"packets_sent"`
	PacketsLost     int64 `json:"packets_lost"`
	PacketsReceived int64 `json:"packets_received"`
	// PacketsStray counts packets for flows that are over or never were.
	PacketsStray int64 `json:"packets_stray"`
	// BrokenFlows lists the first flows that broke.
	BrokenFlows []BrokenFlow  `json:"broken_flows"`
	Duration    time.Duration `json:"duration_ns"`
}

// Total adds the groups up, without the answer times.
func (r Report) Total() GroupReport {
	total := GroupReport{Name: "total"}
	for _, g := range r.Groups {
		total.Flows += g.Flows
		total.Answered += g.Answered
		total.Refused += g.Refused
		total.Broken += g.Broken
		total.Requests += g.Requests
		total.Refusals += g.Refusals
		total.RefusalsWithoutRetryAfter += g.RefusalsWithoutRetryAfter
		total.Shed += g.Shed
		total.Retransmits += g.Retransmits
		total.UncleanCloses += g.UncleanCloses
	}
	return total
}

const (
	maxLatencyMicros   = int64(time.Minute / time.Microsecond)
	significantDigits = 2
)

// groupStats is one worker's share of a GroupReport.
type groupStats struct {
	report GroupReport
	broken map[Cause]int
	latencies  *hdrhistogram.Histogram
}

func newGroupStats(name string) *groupStats {
	return &groupStats{
		report: GroupReport{Name: name},
		broken: make(map[Cause]int),
		latencies:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

func (t *groupStats) recordLatency(d time.Duration) {
	micros := min(max(d.Microseconds(), 1), maxLatencyMicros)
	// The value is within the histogram's range, so that no error can come.
	_ = t.latencies.RecordValue(micros)
}

func (t *groupStats) merge(other *groupStats) {
	t.report = Report{Groups: []GroupReport{t.report, other.report}}.Total()
	for cause, count := range other.broken {
		t.broken[cause] += count
	}
	t.latencies.Merge(other.latencies)
}

func (t *groupStats) summarize(name string) GroupReport {
	r := t.report
	r.Name = name
	r.AnswerP50 = t.latencies.ValueAtQuantile(50)
	r.AnswerP99 = t.latencies.ValueAtQuantile(99)
	r.AnswerMax = t.latencies.Max()
	r.BrokenBy = []CauseCount{}
	for cause, count := range t.broken {
		r.Broken += count
		r.BrokenBy = append(r.BrokenBy, CauseCount{Cause: cause, Count: count})
	}
	sort.Slice(r.BrokenBy, func(i, j int) bool { return r.BrokenBy[i].Cause < r.BrokenBy[j].Cause })
	return r
}
