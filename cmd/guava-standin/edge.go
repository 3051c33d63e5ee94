package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/guavawharf/guavawharf/internal/standin/edgeload"
)

// Defaults of the edge subcommand.
const (
	defaultTargets = 6
	defaultClients = 20
	defaultLength  = 20 * time.Second
)

// edgeCommand simulates the environment of guavaedge hosts and generates load.
type edgeCommand struct {
	store       string
	hosts       []string
	targets     string
	clients     string
	targetCount int
	clientCount int
	length      time.Duration
	seed        uint64
	output      string
}

func newEdgeCommand() *edgeCommand {
	return &edgeCommand{targetCount: defaultTargets, clientCount: defaultClients, length: defaultLength, seed: 1, output: "text"}
}

func (c *edgeCommand) subcommand() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("edge")
	sc.Description = "Simulate the environment of guavaedge hosts (store, targets, fabric, clients); generate load and report."
	sc.AdditionalHelpAppend = "Example: guava-standin edge --store 127.88.0.1:7900 --host 127.88.1.1:7000,127.88.1.1:7001 --targets 127.88.2.1 --clients 127.88.3.1:7000"
	sc.String(&c.store, "s", "store", "address that the store listens on, as IP:port")
	sc.StringSlice(&c.hosts, "c", "host", "a host's addresses for packets and for the readiness check, as IP:port,IP:port; may be repeated")
	sc.String(&c.targets, "t", "targets", "IP address of the first target; the others get the addresses that follow")
	sc.String(&c.clients, "k", "clients", "address of the first client as IP:port; the port is that of the hosts' packet addresses")
	sc.Int(&c.targetCount, "n", "target-count", "number of targets")
	sc.Int(&c.clientCount, "m", "client-count", "number of clients")
	sc.Duration(&c.length, "l", "length", "how long clients send requests")
	sc.UInt64(&c.seed, "r", "seed", "seed of the random choices")
	sc.String(&c.output, "o", "output", "text or json")
	return sc
}

func (c *edgeCommand) run(ctx context.Context, log *slog.Logger) int {
	settings, err := c.settings()
	if err != nil {
		log.Error("edge.settings_refused", "error", err.Error())
		return exitUsage
	}
	report, err := edgeload.Run(ctx, settings)
	if err != nil {
		log.Error("edge.run_failed", "error", err.Error())
		return exitFailed
	}
	if err := c.print(report); err != nil {
		log.Error("edge.report_failed", "error", err.Error())
		return exitFailed
	}
	if report.GuaranteeViolated() {
		return exitFailed
	}
	return exitOK
}

func (c *edgeCommand) print(report edgeload.Report) error {
	if c.output == "json" {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	_, err := fmt.Print(report)
	return err
}

func (c *edgeCommand) settings() (edgeload.Settings, error) {
	store, err := netip.ParseAddrPort(c.store)
	if err != nil {
		return edgeload.Settings{}, fmt.Errorf("--store: %w", err)
	}
	targets, err := netip.ParseAddr(c.targets)
	if err != nil {
		return edgeload.Settings{}, fmt.Errorf("--targets: %w", err)
	}
	clients, err := netip.ParseAddrPort(c.clients)
	if err != nil {
		return edgeload.Settings{}, fmt.Errorf("--clients: %w", err)
	}
	if len(c.hosts) == 0 || c.targetCount < 2 || c.clientCount < 1 {
		return edgeload.Settings{}, fmt.Errorf("--host, --target-count, --client-count: at least one host, two targets and one client are needed")
	}
	settings := edgeload.Settings{
		Store: store, FirstTarget: targets, FirstClient: clients, TargetCount: c.targetCount, ClientCount: c.clientCount,
		Duration: c.length, Seed: c.seed,
	}
	for _, text := range c.hosts {
		host, err := parseHost(text)
		if err != nil {
			return edgeload.Settings{}, fmt.Errorf("--host %s: %w", text, err)
		}
		settings.Hosts = append(settings.Hosts, host)
	}
	return settings, nil
}

func parseHost(text string) (edgeload.Host, error) {
	packets, ready, _ := strings.Cut(text, ",")
	var host edgeload.Host
	var err error
	if host.Packets, err = netip.ParseAddrPort(packets); err != nil {
		return host, err
	}
	host.Ready, err = netip.ParseAddrPort(ready)
	return host, err
}
