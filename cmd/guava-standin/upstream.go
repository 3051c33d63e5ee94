package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/guavawharf/guavawharf/internal/standin/settings"
	"github.com/guavawharf/guavawharf/internal/standin/upstream"
)

const readHeaderTimeout = 5 * time.Second

// upstreamCommand runs several upstreams in one process.
type upstreamCommand struct{ config string }

func newUpstreamCommand() *upstreamCommand { return &upstreamCommand{config: "upstreams.toml"} }

func (c *upstreamCommand) subcommand() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("upstream")
	sc.Description = "Run upstreams with slots and connection limits; report to the platform and serve counts."
	sc.AdditionalHelpAppend = "Example: guava-standin upstream --config upstreams.toml"
	sc.String(&c.config, "c", "config", "settings file in TOML")
	return sc
}

func (c *upstreamCommand) run(ctx context.Context, log *slog.Logger) int {
	s, err := settings.LoadUpstreams(c.config)
	if err != nil {
		log.Error("upstream.settings_refused", "error", err)
		return exitUsage
	}
	fleet, err := upstream.NewFleet(s.Targets, s.Return, log)
	if err != nil {
		log.Error("upstream.listen_failed", "error", err)
		return exitFailed
	}
	defer fleet.Close()
	listener, err := net.Listen("tcp", s.Control.String())
	if err != nil {
		log.Error("upstream.listen_failed", "error", err)
		return exitFailed
	}
	server := &http.Server{Handler: fleet.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go serveHTTP(server, listener, log)
	defer func() { _ = server.Close() }()
	if s.Reporter.Platform != "" {
		go upstream.NewReporter(fleet, s.Reporter, log).Run(ctx)
	}
	log.Info("upstream.serving", "targets", len(s.Targets))
	<-ctx.Done()
	return exitOK
}

func serveHTTP(server *http.Server, listener net.Listener, log *slog.Logger) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		log.Error("control.serve_failed", "error", err)
	}
}
