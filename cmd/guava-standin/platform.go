package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"

	"github.com/integrii/flaggy"

	"github.com/guavawharf/guavawharf/internal/standin/platform"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Default rate limits of the platform in calls per second.
const (
	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 400
)

// platformCommand serves the platform's object API.
type platformCommand struct {
	listen string
	hosts  string
	reads  float64
	writes float64
}

func newPlatformCommand() *platformCommand {
	return &platformCommand{
		listen: "127.0.0.1:7900",
		reads:  defaultReadsPerSecond,
		writes: defaultWritesPerSecond,
	}
}

func (c *platformCommand) subcommand() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("platform")
	sc.Description = "Serve the platform's object API with conditional updates, watches and fault injection."
	sc.AdditionalHelpAppend = "Example: guava-standin platform --listen 127.0.0.1:7900 --hosts hosts.json"
	sc.String(&c.listen, "l", "listen", "IP:port to serve on")
	sc.String(&c.hosts, "", "hosts", "JSON file with the list of entry hosts")
	sc.Float64(&c.reads, "", "reads", "limit of reads per second, 0 for none")
	sc.Float64(&c.writes, "", "writes", "limit of writes per second, 0 for none")
	return sc
}

func (c *platformCommand) run(ctx context.Context, log *slog.Logger) int {
	options := platform.Options{Listen: c.listen, ReadsPerSecond: c.reads, WritesPerSecond: c.writes}
	server, err := platform.New(options)
	if err != nil {
		log.Error("platform.listen_failed", "error", err)
		return exitFailed
	}
	defer func() { _ = server.Close() }()
	if err := c.putInitialHosts(server); err != nil {
		log.Error("platform.hosts_failed", "error", err)
		return exitUsage
	}
	log.Info("platform.serving", "url", server.URL())
	<-ctx.Done()
	log.Info("platform.stopped", "counters", server.Counters())
	return exitOK
}

// putInitialHosts stores the host list from the file, if one was given.
func (c *platformCommand) putInitialHosts(server *platform.Server) error {
	if c.hosts == "" {
		return nil
	}
	list, err := readHostList(c.hosts)
	if err != nil {
		return err
	}
	_, err = server.Put(objects.KeyHosts, list)
	return err
}

// readHostList reads a list of entry hosts from a JSON file.
func readHostList(path string) (objects.HostList, error) {
	var list objects.HostList
	content, err := os.ReadFile(path)
	if err != nil {
		return list, err
	}
	return list, json.Unmarshal(content, &list)
}
