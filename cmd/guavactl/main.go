// Command guavactl is the command-line tool for guavawharf operators.
package main

import (
	"context"
	"expvar"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/guavawharf/guavawharf/internal/ctl"
	"github.com/guavawharf/guavawharf/internal/transport/netrpc"
	"github.com/guavawharf/guavawharf/internal/transport/store"
)

// version is set by the linker.
var version = "development"

func main() {
	options, err := ctl.ParseFlags(version, os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "guavactl:", err)
		os.Exit(ctl.ExitUsage)
	}
	os.Exit(run(options))
}

func run(options ctl.Options) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	settings := store.Settings{Address: options.PlatformURL, Timeout: options.Timeout}
	client := store.NewClient(settings, new(expvar.Map))
	defer client.Close()
	command := ctl.NewCommand(options, client, netrpc.Call, os.Stdout, os.Stderr, time.Now)
	return command.Run(ctx)
}
