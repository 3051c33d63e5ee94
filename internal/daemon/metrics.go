package daemon

import (
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/state"
)

// MetricsPath is the URL path of the expvar page.
const MetricsPath = "/debug/vars"

// metricsRequestTimeout bounds reading a request and writing its response.
const metricsRequestTimeout = 5 * time.Second

// gauges are values of the control state that other goroutines may read.
type gauges struct {
	version atomic.Int64
	members atomic.Int64
	targets atomic.Int64
	ready   atomic.Bool
	leaving atomic.Bool
	// countedSnapshot is the snapshot that targets was last computed from.
	countedSnapshot *state.Snapshot
}

// update copies the values from the controller. Only the control goroutine calls it.
func (g *gauges) update(c *controller) {
	g.version.Store(int64(c.snapshot.Version))
	g.members.Store(int64(len(c.snapshot.View.Members)))
	if g.countedSnapshot != c.snapshot {
		g.countedSnapshot = c.snapshot
		g.targets.Store(int64(countTargets(c.snapshot)))
	}
	g.ready.Store(c.snapshot.Ready)
	g.leaving.Store(c.snapshot.Leaving)
}

// countTargets returns the number of targets that are not withdrawn.
func countTargets(snapshot *state.Snapshot) int {
	count := 0
	for _, target := range snapshot.Targets {
		if !target.Withdrawn {
			count++
		}
	}
	return count
}

// gaugeValues is the JSON form of the gauges on the expvar page.
type gaugeValues struct {
	Host           state.HostID   `json:"host"`
	Domain         state.DomainID `json:"domain"`
	Flows          int            `json:"flows"`
	Targets        int64          `json:"targets"`
	ReleaseVersion int64          `json:"release_version"`
	Members        int64          `json:"members"`
	Ready          bool           `json:"ready"`
	Leaving        bool           `json:"leaving"`
}

func (d *Daemon) gaugeValues() gaugeValues {
	return gaugeValues{
		Host:           d.settings.Host.ID,
		Domain:         d.settings.Host.Domain,
		Flows:          d.packetPool.Flows(),
		Targets:        d.gauges.targets.Load(),
		ReleaseVersion: d.gauges.version.Load(),
		Members:        d.gauges.members.Load(),
		Ready:          d.gauges.ready.Load(),
		Leaving:        d.gauges.leaving.Load(),
	}
}

// openMetrics opens the HTTP listener of the expvar page.
func (d *Daemon) openMetrics() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, d.serveMetrics)
	d.metrics = &http.Server{
		Handler:           mux,
		ReadTimeout:       metricsRequestTimeout,
		WriteTimeout:      metricsRequestTimeout,
		ReadHeaderTimeout: metricsRequestTimeout,
	}
	var err error
	d.listeners.metrics, err = net.Listen("tcp", d.settings.Metrics.String())
	return oops.Code("metrics_listen").Wrap(err)
}

// serveMetrics writes the process's expvar variables, and this daemon's values as
// "gauges" and "counters". The latter are not published as expvar variables of the
// process, so that one process can run several daemons.
func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	page := make(map[string]json.RawMessage)
	expvar.Do(func(variable expvar.KeyValue) {
		page[variable.Key] = json.RawMessage(variable.Value.String())
	})
	page["gauges"] = mustMarshal(d.gaugeValues())
	page["counters"] = mustMarshal(d.counterValues())
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	_ = encoder.Encode(page)
}

// mustMarshal returns the JSON of a value and panics if it can't be marshaled.
func mustMarshal(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// counterValues returns every counter by name.
func (d *Daemon) counterValues() map[string]int64 {
	values := make(map[string]int64)
	for _, counter := range d.packetPool.Counters() {
		values[counter.Name] = counter.Value
	}
	d.counters.Do(func(variable expvar.KeyValue) {
		if counter, ok := variable.Value.(*expvar.Int); ok {
			values[variable.Key] = counter.Value()
		}
	})
	return values
}
