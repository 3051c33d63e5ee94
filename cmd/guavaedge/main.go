// Command guavaedge runs an entry host: it forwards clients' packets to targets on
// platforms whose packets carry a target cookie.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"reflect"
	"time"

	"github.com/guavawharf/guavawharf/internal/edge"
	"github.com/guavawharf/guavawharf/internal/process"
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

// settingsPollInterval is the time between checks for a changed settings file.
const settingsPollInterval = 5 * time.Second

// logFlushTimeout bounds the wait for the last log lines to be written at exit.
const logFlushTimeout = 200 * time.Millisecond

func main() {
	options := program().ParseFlags(os.Args[1:])
	os.Exit(run(options))
}

func run(options process.Options) int {
	// First, since a signal ends the process otherwise, also while it starts.
	hangups := process.HangupSignal()
	leave := process.ShutdownSignal()
	settings, ok := readSettings(options.SettingsPath)
	if !ok {
		return exitSettings
	}
	if options.CheckOnly {
		fmt.Println("settings are valid:", options.SettingsPath)
		return exitOK
	}
	lines := limitlog.NewWriter(os.Stdout)
	defer lines.Close(logFlushTimeout)
	level := new(slog.LevelVar)
	level.Set(settings.LogLevel)
	json := slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: level})
	limited := limitlog.NewHandler(json, lines, settings.LogRate, time.Now)
	log := slog.New(limited).With("host", string(settings.HostID))
	log.Info("starting", "version", version, "domain", string(settings.Domain), "settings", options.SettingsPath)
	host, err := edge.New(settings, version, log, limited.DropCounts)
	if err != nil {
		log.Error("start failed", "error", err.Error())
		return exitFailed
	}
	go watchSettings(options.SettingsPath, settings, level, log, hangups)
	host.Run(leave)
	log.Info("stopped")
	return exitOK
}

func readSettings(path string) (edgesettings.Settings, bool) {
	return process.ReadSettings("guavaedge", path, edgesettings.Parse)
}

// watchSettings reloads the settings at each signal of hangups and whenever the file's
// modification time changes. A new log level takes effect at once; for any other
// change it only logs that a restart is needed.
func watchSettings(path string, running edgesettings.Settings, level *slog.LevelVar, log *slog.Logger, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	lastModified := modTime(path)
	for {
		select {
		case <-hangups:
		case <-ticker.C:
			if modTime(path).Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(path)
		reloaded, ok := readSettings(path)
		if !ok {
			log.Error("settings not reloaded: the file is invalid; keeping the current settings", "settings", path)
			continue
		}
		level.Set(reloaded.LogLevel)
		reloaded.LogLevel = running.LogLevel
		log.Info("reloaded", "settings", path, "restart_needed", !reflect.DeepEqual(reloaded, running))
	}
}

// modTime returns the file's modification time, zero if it can't be read: reading
// the file then reports the error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
