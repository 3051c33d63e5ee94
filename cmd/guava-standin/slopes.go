package main

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/integrii/flaggy"

	"github.com/guavawharf/guavawharf/internal/standin/slopes"
)

const defaultSlopesLimit = 10 * time.Minute

// slopesCommand measures how the costs of an entry host grow with one quantity at a
// time.
type slopesCommand struct {
	out    string
	series []string
	seed   uint64
	limit  time.Duration
	scale  float64
}

func newSlopesCommand() *slopesCommand {
	return &slopesCommand{out: "out/slopes", seed: 1, limit: defaultSlopesLimit, scale: 1}
}

func (c *slopesCommand) subcommand() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("slopes")
	sc.Description = "Measure how the costs of an entry host grow with one quantity at a time; write CSV, JSON and SVG."
	sc.AdditionalHelpAppend = fmt.Sprintf("Series: %v\nExample: guava-standin slopes --out out/slopes --series flows", slopes.Names())
	sc.String(&c.out, "o", "out", "directory for the files")
	sc.StringSlice(&c.series, "s", "series", "series to measure, may be repeated; all by default")
	sc.UInt64(&c.seed, "", "seed", "seed of the random choices")
	sc.Duration(&c.limit, "l", "limit", "time limit of the whole run")
	sc.Float64(&c.scale, "", "scale", "factor applied to all sizes")
	return sc
}

func (c *slopesCommand) run(ctx context.Context, log *slog.Logger) int {
	result, err := slopes.Run(ctx, slopes.Options{
		Seed:     c.seed,
		Revision: version,
		Names:    c.series,
		Limit:    c.limit,
		Scale:    c.scale,
		Log:      log,
	})
	if err != nil {
		log.Error("slopes.run_failed", "error", err)
		return exitFailed
	}
	if err := slopes.Write(result, c.out); err != nil {
		log.Error("slopes.write_failed", "error", err)
		return exitFailed
	}
	fmt.Print(slopes.Table(result))
	return exitOK
}
