package callers

import (
	"net/netip"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Cause is the reason why a flow broke.
type Cause string

// Causes.
const (
	// CauseReset means that a TCP connection was reset after it was open, or that
	// a UDP flow was refused after its first answer.
	CauseReset Cause = "reset"
	// CauseTimeout means that an open TCP connection timed out, or that a request
	// of a UDP flow stayed unanswered after an earlier answer.
	CauseTimeout Cause = "timeout"
	// CauseUnanswered means that a TCP connection timed out before it was open,
	// or that a UDP flow never got an answer.
	CauseUnanswered Cause = "unanswered opening"
	// CauseStalled means that no data of an awaited answer arrived for
	// answerTimeout, or that the connection closed before the last answer.
	CauseStalled Cause = "stalled"
	// CauseBlocked means that no data of an awaited answer arrived for
	// answerTimeout and that sent data was unacknowledged, too.
	CauseBlocked Cause = "blocked"
	// CauseCrossed means an answer that is malformed or belongs to another request.
	CauseCrossed Cause = "crossed"
	// CauseMoved means that a UDP flow was answered by more than one target.
	CauseMoved Cause = "moved"
	// CauseUnfinished means that the flow had no outcome at the end of the run.
	CauseUnfinished Cause = "unfinished"
)

// CauseCount is the number of flows that broke for one cause.
type CauseCount struct {
	Cause Cause `json:"cause"`
	Count int   `json:"count"`
}

// BrokenFlow describes how one flow broke.
type BrokenFlow struct {
	Group  string         `json:"group"`
	Caller netip.AddrPort `json:"caller"`
	Cause  Cause          `json:"cause"`
	// After is the time from the start of the run until the flow broke.
	After time.Duration `json:"after_ns"`
	// Exchanges is the number of requests that were answered before.
	Exchanges int `json:"exchanges"`
}

// maxBrokenFlows bounds the number of broken flows that a worker lists.
const maxBrokenFlows = 20

// GroupReport holds the outcomes of a group's flows as the callers saw them.
type GroupReport struct {
	Name string `json:"name"`
	// Flows is the number of flows. Each of them is Answered (all its requests
	// were), Refused (maxRefusals times) or Broken.
	Flows    int          `json:"flows"`
	Answered int          `json:"answered"`
	Refused  int          `json:"refused"`
	Broken   int          `json:"broken"`
	BrokenBy []CauseCount `json:"broken_by"`
	// Requests is the number of requests that were answered completely.
	Requests int `json:"requests"`
	// Refusals counts refused attempts to open a flow, including those of flows
	// that were accepted later.
	Refusals int `json:"refusals"`
	// RefusalsWithoutRetryAfter counts refusals without a retry time.
	RefusalsWithoutRetryAfter int `json:"refusals_without_retry_after"`
	// Shed counts requests that a target answered with exchange.NotRun.
	Shed int `json:"shed"`
	// Retransmits counts TCP retransmission rounds and timeouts of UDP requests.
	Retransmits int `json:"retransmits"`
	// UncleanCloses counts TCP flows, of any outcome, that were removed although
	// their connection had not closed in order.
	UncleanCloses int `json:"unclean_closes"`
	// AnswerP50, AnswerP99 and AnswerMax are times from sending a request to its
	// complete answer, in microseconds.
	AnswerP50 int64 `json:"answer_p50_us"`
	AnswerP99 int64 `json:"answer_p99_us"`
	AnswerMax int64 `json:"answer_max_us"`
}

// Report holds the results of a run.
type Report struct {
	Seed   uint64        `json:"seed"`
	Groups []GroupReport `json:"groups"`
	// PacketsSent and PacketsReceived count packets to and from the entry hosts.
	// PacketsLost counts simulated losses in both directions and packets dropped
	// because a worker's inbox was full.
	PacketsSent     int64 `json:"packets_sent"`
	PacketsLost     int64 `json:"packets_lost"`
	PacketsReceived int64 `json:"packets_received"`
	// PacketsStray counts received packets that belong to no current flow, and
	// those that cannot be decoded.
	PacketsStray int64 `json:"packets_stray"`
	// BrokenFlows lists the first flows that broke, up to maxBrokenFlows for each
	// worker.
	BrokenFlows []BrokenFlow  `json:"broken_flows"`
	Duration    time.Duration `json:"duration_ns"`
}

// Total returns the sums over all groups, without the answer times and BrokenBy.
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
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 2
)

// groupStats collects one worker's share of a GroupReport.
type groupStats struct {
	report    GroupReport
	broken    map[Cause]int
	latencies *hdrhistogram.Histogram
}

func newGroupStats(name string) *groupStats {
	return &groupStats{
		report:    GroupReport{Name: name},
		broken:    make(map[Cause]int),
		latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

func (s *groupStats) recordLatency(d time.Duration) {
	micros := min(max(d.Microseconds(), 1), maxLatencyMicros)
	// The value is within the histogram's range, so RecordValue cannot fail.
	_ = s.latencies.RecordValue(micros)
}

func (s *groupStats) merge(other *groupStats) {
	s.report = Report{Groups: []GroupReport{s.report, other.report}}.Total()
	for cause, count := range other.broken {
		s.broken[cause] += count
	}
	s.latencies.Merge(other.latencies)
}

func (s *groupStats) summarize(name string) GroupReport {
	r := s.report
	r.Name = name
	r.AnswerP50 = s.latencies.ValueAtQuantile(50)
	r.AnswerP99 = s.latencies.ValueAtQuantile(99)
	r.AnswerMax = s.latencies.Max()
	r.BrokenBy = []CauseCount{}
	for cause, count := range s.broken {
		r.Broken += count
		r.BrokenBy = append(r.BrokenBy, CauseCount{Cause: cause, Count: count})
	}
	sort.Slice(r.BrokenBy, func(i, j int) bool { return r.BrokenBy[i].Cause < r.BrokenBy[j].Cause })
	return r
}
