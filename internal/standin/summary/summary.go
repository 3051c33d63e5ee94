// Package summary combines the reports of the simulated callers and upstreams of
// one run and checks whether the system's guarantees held.
package summary

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/callers"
	"github.com/guavawharf/guavawharf/internal/standin/upstream"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Summary holds the results of one run.
type Summary struct {
	Callers callers.Report `json:"callers"`
	// Targets is empty if the upstreams' counts were not fetched.
	Targets []upstream.Counts `json:"targets"`
	// Imbalances has one entry for each service.
	Imbalances []Imbalance `json:"imbalances"`
}

// Imbalance compares the numbers of flows opened at the targets of one service.
type Imbalance struct {
	Service string  `json:"service"`
	Targets int     `json:"targets"`
	Max     int64   `json:"max"`
	Mean    float64 `json:"mean"`
}

// Ratio returns the largest count divided by the mean, or 0 if no flow was opened.
func (i Imbalance) Ratio() float64 {
	if i.Mean == 0 {
		return 0
	}
	return float64(i.Max) / i.Mean
}

const fetchTimeout = 5 * time.Second

// FetchCounts fetches the counts of the upstreams from their control URL.
func FetchCounts(url string) ([]upstream.Counts, error) {
	client := &http.Client{Timeout: fetchTimeout}
	response, err := client.Get(url + upstream.PathCounts)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var counts []upstream.Counts
	return counts, json.NewDecoder(response.Body).Decode(&counts)
}

// New returns the summary of a run. Targets that were added or withdrawn during the
// run, listed in changed, are left out of the imbalances.
func New(report callers.Report, counts []upstream.Counts, changed []state.TargetID) Summary {
	return Summary{
		Callers:    report,
		Targets:    counts,
		Imbalances: computeImbalances(counts, changed),
	}
}

func computeImbalances(counts []upstream.Counts, changed []state.TargetID) []Imbalance {
	skipped := make(map[state.TargetID]bool, len(changed))
	for _, id := range changed {
		skipped[id] = true
	}
	var result []Imbalance
	index := make(map[string]int)
	for _, c := range counts {
		if skipped[c.Target] {
			continue
		}
		service := c.Service.String()
		i, known := index[service]
		if !known {
			i = len(result)
			index[service] = i
			result = append(result, Imbalance{Service: service})
		}
		result[i].Targets++
		result[i].Max = max(result[i].Max, c.Opened)
		result[i].Mean += (float64(c.Opened) - result[i].Mean) / float64(result[i].Targets)
	}
	return result
}

// Failures describes each guarantee that was violated during the run. A run in
// which no flow was answered fails, too.
func (s Summary) Failures() []string {
	total := s.Callers.Total()
	targets := s.targetTotals()
	checks := []struct {
		count int64
		what  string
	}{
		{int64(total.Broken), "flows broken"},
		{targets.WrongService, "packets at a wrong service"},
		{targets.RunTwice, "requests run twice"},
		{targets.NeverOpened, "payloads at a target that did not open their flow"},
		{targets.AfterDrain, "flows opened at a target long after its drain began"},
	}
	var failures []string
	for _, c := range checks {
		if c.count != 0 {
			failures = append(failures, fmt.Sprintf("%d %s", c.count, c.what))
		}
	}
	if total.Answered == 0 {
		failures = append(failures, "no flow was answered")
	}
	return failures
}

func (s Summary) targetTotals() upstream.Counts {
	var total upstream.Counts
	for _, c := range s.Targets {
		total.Opened += c.Opened
		total.Run += c.Run
		total.RunTwice += c.RunTwice
		total.Shed += c.Shed
		total.WrongService += c.WrongService
		total.NeverOpened += c.NeverOpened
		total.BareUnknown += c.BareUnknown
		total.OverLimit += c.OverLimit
		total.AfterDrain += c.AfterDrain
		total.Reset += c.Reset
		total.TimedOut += c.TimedOut
		total.Malformed += c.Malformed
	}
	return total
}

// Text returns the summary as a table in plain text.
func (s Summary) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %8s %8s %8s %8s %9s %8s %10s %10s\n",
		"flows", "opened", "answered", "refused", "broken", "requests", "refusals", "p50 ms", "p99 ms")
	for _, g := range s.Callers.Groups {
		writeGroup(&b, g)
	}
	total := s.Callers.Total()
	fmt.Fprintf(&b, "%-12s %8d %8d %8d %8d %9d %8d\n",
		"total", total.Flows, total.Answered, total.Refused, total.Broken, total.Requests, total.Refusals)
	s.writeTargets(&b)
	fmt.Fprintf(&b, "packets      %d sent, %d lost, %d answers, %d stray; %d retransmissions; seed %d; %.1f s\n",
		s.Callers.PacketsSent, s.Callers.PacketsLost, s.Callers.PacketsReceived, s.Callers.PacketsStray, total.Retransmits,
		s.Callers.Seed, s.Callers.Duration.Seconds())
	for _, f := range s.Callers.BrokenFlows {
		fmt.Fprintf(&b, "broken       %s %s: %s after %.3f s and %d exchanges\n",
			f.Group, f.Caller, f.Cause, f.After.Seconds(), f.Exchanges)
	}
	return b.String()
}

const microsPerMilli = 1000

func writeGroup(b *strings.Builder, g callers.GroupReport) {
	fmt.Fprintf(b, "%-12s %8d %8d %8d %8d %9d %8d %10.1f %10.1f\n",
		g.Name, g.Flows, g.Answered, g.Refused, g.Broken, g.Requests, g.Refusals,
		float64(g.AnswerP50)/microsPerMilli, float64(g.AnswerP99)/microsPerMilli)
	for _, c := range g.BrokenBy {
		fmt.Fprintf(b, "    broken: %d %s\n", c.Count, c.Cause)
	}
}

func (s Summary) writeTargets(b *strings.Builder) {
	if len(s.Targets) == 0 {
		return
	}
	for _, i := range s.Imbalances {
		fmt.Fprintf(b, "imbalance    %s: max/mean %.2f of the flows opened at %d targets\n", i.Service, i.Ratio(), i.Targets)
	}
	t := s.targetTotals()
	fmt.Fprintf(b, "targets      %d requests run, %d run twice, %d shed, %d packets at a wrong service, %d payloads and %d bare packets of unopened flows\n",
		t.Run, t.RunTwice, t.Shed, t.WrongService, t.NeverOpened, t.BareUnknown)
}
