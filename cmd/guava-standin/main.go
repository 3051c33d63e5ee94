// Command guava-standin simulates the platform, the upstreams, and the callers with
// their network fabric, for development and tests.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// version is set by the linker.
var version = "development"

const examples = `
Examples:
  guava-standin platform --listen 127.0.0.1:8500 --hosts hosts.json
  guava-standin upstream --config upstreams.toml
  guava-standin callers --config callers.toml

scripts/demo.sh writes such files and runs everything.`

// command is one subcommand: subcommand declares its flags, run runs it and returns
// the process's exit code.
type command interface {
	subcommand() *flaggy.Subcommand
	run(ctx context.Context, log *slog.Logger) int
}

func main() {
	commands := []command{newPlatformCommand(), newHostsCommand(), newUpstreamCommand(), newCallersCommand(), newEdgeCommand()}
	parser := flaggy.NewParser("guava-standin")
	parser.Description = "Simulated platform, upstreams and callers, for development and tests only."
	parser.Version = version
	parser.AdditionalHelpAppend = examples
	subcommands := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		subcommands[i] = c.subcommand()
		parser.AttachSubcommand(subcommands[i], 1)
	}
	if err := parser.Parse(); err != nil {
		os.Exit(exitUsage)
	}
	for i, c := range commands {
		if subcommands[i].Used {
			os.Exit(runCommand(c))
		}
	}
	parser.ShowHelp()
	os.Exit(exitUsage)
}

func runCommand(c command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return c.run(ctx, slog.New(slog.NewJSONHandler(os.Stderr, nil)))
}
