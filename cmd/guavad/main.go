// Command guavad is the daemon of an entry host.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/daemon"
	"github.com/guavawharf/guavawharf/internal/protocol/settings"
)

// version is set by the linker.
var version = "development"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

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
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: checked.LogLevel}))
	leave := leaveOnSignal()
	d, err := daemon.New(checked, log)
	if err != nil {
		log.Error(daemon.LogStartFailed, "error", err.Error(), "code", errorCode(err))
		return exitFailed
	}
	d.Run(leave)
	return exitOK
}

// errorCode returns the stable code of an error, or nil.
func errorCode(err error) any {
	if coded, ok := oops.AsOops(err); ok {
		return coded.Code()
	}
	return nil
}

// readSettings prints every issue of the file.
func readSettings(path string) (settings.Settings, bool) {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "guavad:", err)
		return settings.Settings{}, false
	}
	checked, issues := settings.Parse(data)
	for _, issue := range issues {
		fmt.Fprintf(os.Stderr, "%s: %s\n", path, issue)
	}
	return checked, len(issues) == 0
}

// leaveOnSignal sends a value at the first SIGTERM or SIGINT; later ones have no
// further effect.
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
