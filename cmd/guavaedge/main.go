// Command guavaedge forwards packets on an entry host of the users' platform.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/guavawharf/guavawharf/internal/edge"
	"github.com/guavawharf/guavawharf/internal/protocol/edgesettings"
	"github.com/guavawharf/guavawharf/internal/transport/limitlog"
)

// version is set by the linker.
var version = "development"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// logFlushLimit bounds the time that the last log lines get at the end.
const logFlushLimit = 200 * time.Millisecond

func main() {
	options := parseFlags(os.Args[1:])
	os.Exit(run(options))
}

func run(options options) int {
	checked, ok := readSettings(options.config)
	if !ok {
		return exitSettings
	}
	if options.check {
		fmt.Println("settings are valid:", options.config)
		return exitOK
	}
	lines := limitlog.NewWriter(os.Stdout)
	defer lines.Close(logFlushLimit)
	level := new(slog.LevelVar)
	level.Set(checked.LogLevel)
	json := slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: level})
	log := slog.New(limitlog.NewHandler(json, checked.LogRate, time.Now)).With("host", string(checked.Host))
	log.Info("starting", "version", version, "domain", string(checked.Domain), "settings", options.config)
	host, err := edge.New(checked, log)
	if err != nil {
		log.Error("start failed", "error", err.Error())
		return exitFailed
	}
	go reloadOnSignal(options.config, checked, level, log)
	host.Run(leaveOnSignal())
	log.Info("stopped")
	return exitOK
}

// readSettings prints every issue of the file.
func readSettings(path string) (edgesettings.Settings, bool) {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "guavaedge:", err)
		return edgesettings.Settings{}, false
	}
	checked, issues := edgesettings.Parse(data)
	for _, issue := range issues {
		fmt.Fprintf(os.Stderr, "%s: %s\n", path, issue)
	}
	return checked, len(issues) == 0
}

// reloadOnSignal reads the settings again at each SIGHUP. The log level takes
// effect at once; other changes are named and need a restart.
func reloadOnSignal(path string, running edgesettings.Settings, level *slog.LevelVar, log *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		changed, ok := readSettings(path)
		if !ok {
			log.Error("reload refused, settings are not valid", "settings", path)
			continue
		}
		level.Set(changed.LogLevel)
		changed.LogLevel = running.LogLevel
		log.Info("reloaded", "settings", path, "restart_needed", changed != running)
	}
}

// leaveOnSignal sends a value at the first SIGTERM or SIGINT.
func leaveOnSignal() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	leave := make(chan struct{}, 1)
	go func() {
		<-signals
		leave <- struct{}{}
	}()
	return leave
}
