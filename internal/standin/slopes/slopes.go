// Package slopes measures how the cost of an entry host grows with one quantity
// at a time. It drives the cores in this process, in virtual time where time
// matters, and reports points and fitted lines. Runs are bounded in count, time
// and memory, and repeatable by their seed but for the noise of
// processor times.
package slopes

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"time"
)

// Metric is one measured value.
type Metric struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Point is what was measured at one value of the quantity.
type Point struct {
	X       float64  `json:"x"`
	Metrics []Metric `json:"metrics"`
}

// Series is one quantity with its points and the lines through them.
type Series struct {
	Name     string  `json:"name"`
	Quantity string  `json:"quantity"`
	Points   []Point `json:"points"`
	Lines    []Line  `json:"lines"`
}

// Result is a whole run.
type Result struct {
	Revision  string    `json:"revision"`
	GoVersion string    `json:"go_version"`
	Cores     int       `json:"cores"`
	Seed      uint64    `json:"seed"`
	Began     time.Time `json:"began"`
	Series    []Series  `json:"series"`
}

// Options sets up a run.
type Options struct {
	Seed uint64
	// Revision names the source that is measured.
	Revision string
	// Names selects series; empty selects all.
	Names []string
	// Limit bounds the whole run. A series that is cut off has fewer points.
	Limit time.Duration
	// Scale multiplies the sizes of the points; 1 is the default.
	Scale float64
	Log   *slog.Logger
}

// measure takes one point at x.
type measure func(run *run, x int) ([]Metric, error)

// plan is how a series is measured.
type plan struct {
	name     string
	quantity string
	xs       []int
	measure  measure
}

// plans returns all series in the order they run.
func plans() []plan {
	return []plan{
		{"flows", "open flow records of an engine", []int{25_000, 50_000, 100_000, 200_000, 400_000}, measureFlows},
		{"new_flows", "new flows a second at two owners", []int{500, 1000, 2000, 4000, 8000}, measureNewFlows},
		{"targets", "targets of 360 services", []int{720, 1800, 3600, 7200, 14_400, 27_000}, measureTargets},
		{"services", "services of 7 or 8 targets each", []int{225, 450, 900, 1800, 3600}, measureServices},
		{"judged", "targets that one host judges each second", []int{844, 1688, 3375, 6750, 13_500, 27_000}, measureEvaluatedTargets},
		{"domain_hosts", "hosts of a failure domain", []int{8, 16, 32, 64, 128, 256}, measureDomainHosts},
		{"domains", "failure domains of 8 hosts each", []int{2, 3, 4, 6, 8}, measureDomains},
		{"releases", "releases a minute to 4 domains of 4 hosts", []int{1, 2, 4, 6, 12}, measureReleases},
		{"spread", "hosts in each of 2 domains that a release reaches", []int{4, 8, 16, 32, 64, 128}, measurePropagation},
	}
}

// Names returns the names of all series.
func Names() []string {
	var names []string
	for _, p := range plans() {
		names = append(names, p.name)
	}
	return names
}

// run is the state of one run.
type run struct {
	ctx  context.Context
	seed uint64
}

// Run measures the selected series.
func Run(ctx context.Context, o Options) (Result, error) {
	selected, err := selectPlans(o.Names)
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	result := newResult(o)
	for _, p := range selected {
		series, err := p.run(&run{ctx: ctx, seed: o.Seed}, o)
		if err != nil {
			return result, fmt.Errorf("series %s: %w", p.name, err)
		}
		result.Series = append(result.Series, series)
	}
	return result, nil
}

func selectPlans(names []string) ([]plan, error) {
	all := plans()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []plan
	for _, name := range names {
		found := false
		for _, p := range all {
			if p.name == name {
				chosen = append(chosen, p)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("no series %q; there are %v", name, Names())
		}
	}
	return chosen, nil
}

// run measures the points of a series in turn.
func (p plan) run(r *run, o Options) (Series, error) {
	series := Series{Name: p.name, Quantity: p.quantity}
	for _, x := range p.xs {
		x = max(int(float64(x)*o.Scale), 1)
		if r.ctx.Err() != nil {
			o.Log.Warn("slopes.cut_off", "series", p.name, "x", x)
			break
		}
		began := time.Now()
		var metrics []Metric
		var err error
		onLockedThread(func() { metrics, err = p.measure(r, x) })
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, Point{X: float64(x), Metrics: metrics})
		o.Log.Info("slopes.point", "series", p.name, "x", x, "took", time.Since(began).Seconds())
		runtime.GC()
	}
	series.Lines = fitAll(series.Points)
	return series, nil
}
