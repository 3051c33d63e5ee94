package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"

	"github.com/integrii/flaggy"

	"github.com/guavawharf/guavawharf/internal/standin/callers"
	"github.com/guavawharf/guavawharf/internal/standin/settings"
	"github.com/guavawharf/guavawharf/internal/standin/summary"
	"github.com/guavawharf/guavawharf/internal/standin/upstream"
)

// callersCommand opens flows through the entry hosts and prints their outcomes.
type callersCommand struct {
	config string
	output string
}

func newCallersCommand() *callersCommand {
	return &callersCommand{config: "callers.toml", output: "table"}
}

func (c *callersCommand) subcommand() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("callers")
	sc.Description = "Open flows through the entry hosts; exit 1 if a guarantee was violated."
	sc.AdditionalHelpAppend = "Example: guava-standin callers --config callers.toml --output json"
	sc.String(&c.config, "c", "config", "settings file in TOML")
	sc.String(&c.output, "o", "output", "table or json")
	return sc
}

func (c *callersCommand) run(ctx context.Context, log *slog.Logger) int {
	s, err := settings.LoadCallers(c.config)
	if err != nil {
		log.Error("callers.settings_refused", "error", err)
		return exitUsage
	}
	report, err := callers.Run(ctx, s.Options)
	if err != nil {
		log.Error("callers.run_failed", "error", err)
		return exitFailed
	}
	var counts []upstream.Counts
	code := exitOK
	if s.Upstreams != "" {
		counts, err = summary.FetchCounts(s.Upstreams)
		if err != nil {
			log.Error("callers.counts_failed", "error", err)
			code = exitFailed
		}
	}
	return max(code, c.print(summary.New(report, counts, s.Changed), log))
}

func (c *callersCommand) print(s summary.Summary, log *slog.Logger) int {
	if c.output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(s); err != nil {
			log.Error("callers.print_failed", "error", err)
			return exitFailed
		}
	} else {
		fmt.Print(s.Text())
	}
	failures := s.Failures()
	for _, failure := range failures {
		fmt.Println("FAILED:", failure)
	}
	if len(failures) > 0 {
		return exitFailed
	}
	return exitOK
}
