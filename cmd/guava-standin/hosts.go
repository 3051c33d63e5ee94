package main

import (
	"context"
	"log/slog"

	"github.com/integrii/flaggy"

	"github.com/guavawharf/guavawharf/internal/standin/objectapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// hostsCommand replaces the platform's list of entry hosts.
type hostsCommand struct {
	platform string
	file     string
}

func newHostsCommand() *hostsCommand {
	return &hostsCommand{platform: "http://127.0.0.1:7900", file: "hosts.json"}
}

func (c *hostsCommand) subcommand() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("hosts")
	sc.Description = "Replace the platform's list of entry hosts."
	sc.AdditionalHelpAppend = "Example: guava-standin hosts --platform http://127.0.0.1:7900 --file hosts.json"
	sc.String(&c.platform, "p", "platform", "base URL of the platform")
	sc.String(&c.file, "f", "file", "JSON file with the list of entry hosts")
	return sc
}

func (c *hostsCommand) run(ctx context.Context, log *slog.Logger) int {
	list, err := readHostList(c.file)
	if err != nil {
		log.Error("hosts.file_refused", "error", err)
		return exitUsage
	}
	client := objectapi.New(c.platform)
	current, err := client.Get(ctx, objects.KeyHosts)
	if err == nil {
		err = client.Put(ctx, objects.KeyHosts, current.Version, list)
	}
	if err != nil {
		log.Error("hosts.put_failed", "error", err)
		return exitFailed
	}
	return exitOK
}
