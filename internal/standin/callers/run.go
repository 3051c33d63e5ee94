// Package callers simulates the callers and the network fabric in front of the
// entry hosts, for development and tests. It opens TCP and UDP flows, sends
// each packet to a random entry host, simulates packet loss and delay, and
// counts the outcomes as callers see them.
package callers

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

// Run opens the flows of the options and reports their outcomes. It returns when
// all outcomes are known and the ended flows have closed, at the time limit or
// when the context ends.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.validate(); err != nil {
		return Report{}, err
	}
	f, err := newFabric(options.Listen, options.Hosts)
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = f.socket.Close() }()
	ctx, cancel := context.WithTimeout(ctx, options.TimeLimit)
	defer cancel()
	startedAt := time.Now()
	workers := newWorkers(&options, f)
	go f.receive(workers)
	if options.PlatformURL != "" {
		go f.watchHosts(ctx, options.PlatformURL)
	}
	runWorkers(ctx, workers)
	report := buildReport(&options, workers)
	report.PacketsSent = f.sent.Load()
	report.PacketsLost = f.lost.Load()
	report.PacketsReceived = f.received.Load()
	report.PacketsStray = f.stray.Load()
	report.Duration = time.Since(startedAt)
	return report, nil
}

func newWorkers(o *Options, f *fabric) []*worker {
	shares := make([][]flowStart, o.Workers)
	random := rand.New(rand.NewPCG(o.Seed, 0))
	for i, g := range o.Groups {
		for range g.Flows {
			at := g.Start + time.Duration(random.Int64N(int64(g.Ramp)+1))
			index := random.IntN(o.Workers)
			shares[index] = append(shares[index], flowStart{at: at, group: i})
		}
	}
	workers := make([]*worker, o.Workers)
	for i, share := range shares {
		sort.Slice(share, func(a, b int) bool { return share[a].at < share[b].at })
		workers[i] = newWorker(i, o, f, share)
	}
	return workers
}

func runWorkers(ctx context.Context, workers []*worker) {
	var wg sync.WaitGroup
	for _, w := range workers {
		wg.Go(func() { w.run(ctx) })
	}
	wg.Wait()
}

func buildReport(o *Options, workers []*worker) Report {
	report := Report{Seed: o.Seed}
	for i, g := range o.Groups {
		total := newGroupStats(g.Name)
		for _, w := range workers {
			total.merge(w.stats[i])
		}
		report.Groups = append(report.Groups, total.summarize(g.Name))
	}
	for _, w := range workers {
		report.BrokenFlows = append(report.BrokenFlows, w.brokenFlows...)
	}
	return report
}
