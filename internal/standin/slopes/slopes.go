// Package slopes measures how the cost of an entry host scales with one quantity
// at a time. It runs the control cores and traffic engines of many hosts in this
// process, in virtual time where time matters, and reports points and fitted lines.
// Runs are bounded in count, time and memory. The same seed gives the same run,
// except for the noise of CPU times.
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

// Point holds the metrics at one value X of the quantity.
type Point struct {
	X       float64  `json:"x"`
	Metrics []Metric `json:"metrics"`
}

// Series is one quantity with its points and the lines fitted to them.
type Series struct {
	Name     string  `json:"name"`
	Quantity string  `json:"quantity"`
	Points   []Point `json:"points"`
	Lines    []Line  `json:"lines"`
}

// Result is the outcome of a run.
type Result struct {
	Revision  string    `json:"revision"`
	GoVersion string    `json:"go_version"`
	Cores     int       `json:"cores"`
	Seed      uint64    `json:"seed"`
	Began     time.Time `json:"began"`
	Series    []Series  `json:"series"`
}

// Options configures a run.
type Options struct {
	Seed uint64
	// Revision identifies the source revision under measurement.
	Revision string
	// Names selects series by name; empty selects all.
	Names []string
	// Limit is the longest time of the whole run. Points not started by then are
	// left out.
	Limit time.Duration
	// Scale multiplies the sizes of the points; 1 is the default.
	Scale float64
	Log   *slog.Logger
}

// measure returns the metrics at the value x of the quantity.
type measure func(run *run, x int) ([]Metric, error)

// plan describes how a series is measured.
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

// Run measures the selected series. On an error it returns the series completed so
// far.
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
			return nil, fmt.Errorf("unknown series %q; available are %v", name, Names())
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
