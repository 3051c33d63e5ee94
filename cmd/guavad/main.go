// Command guavad runs the load balancer daemon of an entry host.
package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/daemon"
	"github.com/guavawharf/guavawharf/internal/process"
	"github.com/guavawharf/guavawharf/internal/protocol/settings"
)

// version is set at link time.
var version = "development"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	options := program().ParseFlags(os.Args[1:])
	os.Exit(run(options))
}

func run(options process.Options) int {
	checked, ok := process.ReadSettings("guavad", options.SettingsPath, settings.Parse)
	if !ok {
		return exitSettings
	}
	if options.CheckOnly {
		fmt.Println("settings are valid:", options.SettingsPath)
		return exitOK
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: checked.LogLevel}))
	leave := process.ShutdownSignal()
	go logHangups(log, process.HangupSignal())
	d, err := daemon.New(checked, log)
	if err != nil {
		log.Error(daemon.LogStartFailed, "error", err.Error(), "code", errorCode(err))
		return exitFailed
	}
	d.Run(leave)
	return exitOK
}

// logHangups tells at each SIGHUP that nothing is reloaded.
func logHangups(log *slog.Logger, hangups <-chan os.Signal) {
	for range hangups {
		log.Warn("settings not reloaded; they take effect at the next start")
	}
}

// errorCode returns the stable code of an error, or nil if it has none.
func errorCode(err error) any {
	if coded, ok := oops.AsOops(err); ok {
		return coded.Code()
	}
	return nil
}
