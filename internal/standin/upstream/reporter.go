package upstream

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/objectapi"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	// Platform is the base URL of the platform's object service.
	Platform string
	// Interval is the time between samples. Lag is the least age of a sample when it
	// is written.
	Interval time.Duration
	Lag      time.Duration
}

// Reporter writes the fleet's health and load to the platform. Entries of
// targets of other processes are preserved.
type Reporter struct {
	options ReporterOptions
	fleet   *Fleet
	log     *slog.Logger
	client  *objectapi.Client
	pending []report
}

type report struct {
	at    time.Time
	loads []objects.TargetLoad
}

// NewReporter returns a Reporter for the fleet. It reports while Run runs.
func NewReporter(fleet *Fleet, options ReporterOptions, log *slog.Logger) *Reporter {
	return &Reporter{
		options: options,
		fleet:   fleet,
		log:     log,
		client:  objectapi.New(options.Platform),
	}
}

// Run reports until the context is cancelled.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(r.options.Interval)
	defer ticker.Stop()
	for {
		r.sampleAndWrite(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sampleAndWrite samples the fleet and writes the newest sample that is at least as
// old as the lag. Older samples are discarded.
func (r *Reporter) sampleAndWrite(ctx context.Context, now time.Time) {
	r.pending = append(r.pending, report{at: now, loads: r.fleet.loads(now)})
	due := -1
	for i, p := range r.pending {
		if now.Sub(p.at) >= r.options.Lag {
			due = i
		}
	}
	if due < 0 {
		return
	}
	loads := r.pending[due].loads
	r.pending = r.pending[due+1:]
	if err := r.write(ctx, loads); err != nil {
		r.log.Warn("upstream.report_failed", "error", err)
	}
}

// write replaces the fleet's entries in the load list, provided that no other
// process has written the list meanwhile.
func (r *Reporter) write(ctx context.Context, loads []objects.TargetLoad) error {
	current, err := r.client.Get(ctx, objects.KeyLoads)
	if err != nil {
		return err
	}
	list := objects.LoadList{}
	if current.Version > 0 {
		if err := json.Unmarshal(current.Value, &list); err != nil {
			return err
		}
	}
	list.Loads = mergeLoads(list.Loads, loads)
	return r.client.Put(ctx, objects.KeyLoads, current.Version, list)
}

// mergeLoads returns the reported entries and the stored entries of other targets.
func mergeLoads(stored, reported []objects.TargetLoad) []objects.TargetLoad {
	own := make(map[state.TargetID]bool, len(reported))
	for _, load := range reported {
		own[load.Target] = true
	}
	merged := append([]objects.TargetLoad{}, reported...)
	for _, load := range stored {
		if !own[load.Target] {
			merged = append(merged, load)
		}
	}
	return merged
}

// loads returns the current entries of all upstreams of the fleet.
func (f *Fleet) loads(now time.Time) []objects.TargetLoad {
	all := make([]objects.TargetLoad, len(f.targets))
	for i, t := range f.targets {
		all[i] = t.report(now)
	}
	return all
}

func (t *Target) report(now time.Time) objects.TargetLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	load := objects.TargetLoad{
		Target:   t.options.ID,
		Healthy:  !t.faults.Down,
		Draining: t.faults.Draining,
		Load:     t.utilization(),
		At:       now,
	}
	if t.faults.ReportHealthy != nil {
		load.Healthy = *t.faults.ReportHealthy
	}
	if t.faults.ReportLoad != nil {
		load.Load = *t.faults.ReportLoad
	}
	return load
}

// utilization returns the larger of the shares of slots and of connections in use,
// at most 1. Queued requests count as slots in use.
func (t *Target) utilization() float64 {
	slots := float64(t.running+len(t.queue)) / float64(max(t.options.Slots, 1))
	connections := float64(t.counts.open.Load()) / float64(max(t.options.Connections, 1))
	return min(max(slots, connections), 1)
}
